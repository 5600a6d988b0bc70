package org.micabarrow.attempts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.routing.RequestKind;
import org.micabarrow.routing.Route;

class AttemptPolicyTest {

    private static Route route(RequestKind kind, int attempts) {
        return new Route(
                "r", "h", "/", List.of(new Route.WeightedService("s", 1)), kind, 1_000, 500, 0, attempts, false);
    }

    @ParameterizedTest
    @CsvSource({
        "AT_MOST_ONCE,     false, 1, 1000, true",
        "AT_MOST_ONCE,     true,  1, 1000, false",
        "STREAM,           true,  1, 1000, false",
        "STREAM,           false, 1, 1000, true",
        "RESUMABLE_STREAM, true,  1, 1000, true",
        "IDEMPOTENT,       true,  1, 1000, true",
        "IDEMPOTENT,       true,  2, 1000, false",
        "IDEMPOTENT,       false, 1, 10,   false"
    })
    void shouldDecideByKindAndRemainingTime(
            RequestKind kind, boolean mayHaveRun, int attempts, long remainingMillis, boolean allowed) {
        AttemptPolicy.Progress progress = new AttemptPolicy.Progress(attempts, mayHaveRun, remainingMillis);
        assertEquals(allowed, AttemptPolicy.allowsAnotherAttempt(route(kind, 2), progress, () -> true));
    }

    @Test
    void shouldNotConsumeBudgetWhenRequestMayNotRunAgain() {
        AtomicInteger taken = new AtomicInteger();
        AttemptPolicy.Progress progress = new AttemptPolicy.Progress(1, true, 1_000);
        AttemptPolicy.allowsAnotherAttempt(
                route(RequestKind.AT_MOST_ONCE, 2), progress, () -> taken.incrementAndGet() > 0);
        assertEquals(0, taken.get());
    }

    @ParameterizedTest
    @CsvSource({
        "RESUMABLE_STREAM, 1000, false",
        "RESUMABLE_STREAM, 1001, true",
        "IDEMPOTENT,       1001, true",
        "STREAM,           9999, false",
        "AT_MOST_ONCE,     9999, false"
    })
    void shouldReportOverdueAfterTwoObjectivesWhenRequestMayRunAgain(
            RequestKind kind, long waitedMillis, boolean overdue) {
        assertEquals(overdue, AttemptPolicy.overdue(route(kind, 2), waitedMillis));
    }

    @Test
    void shouldStopWhenBudgetIsExhausted() {
        AttemptPolicy.Progress progress = new AttemptPolicy.Progress(1, false, 1_000);
        assertEquals(
                false, AttemptPolicy.allowsAnotherAttempt(route(RequestKind.IDEMPOTENT, 2), progress, () -> false));
    }
}
