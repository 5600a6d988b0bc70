package org.micabarrow.attempts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AttemptHistoryTest {

    private final AttemptHistory attempts = new AttemptHistory();

    /** Applies events; an upper-case letter is an attempt at that endpoint. */
    private void apply(String events) {
        for (String event : events.split(" ")) {
            switch (event) {
                case "-" -> {}
                case "query" -> attempts.countAgentQuery();
                case "not-sent" -> attempts.notSent();
                case "late-at-A" -> attempts.connectionLate("A");
                case "not-run" -> attempts.ended(AttemptOutcome.NOT_RUN);
                case "misdirected" -> attempts.ended(AttemptOutcome.MISDIRECTED);
                case "unknown" -> attempts.ended(AttemptOutcome.UNKNOWN);
                case "failed" -> attempts.ended(AttemptOutcome.FAILED);
                default -> attempts.sent(event);
            }
        }
    }

    private static Set<String> set(String ids) {
        return Arrays.stream(ids.split(" ")).filter(id -> !id.equals("-")).collect(Collectors.toSet());
    }

    @ParameterizedTest
    @CsvSource({
        // events,                         tried, count, may have run, connected late
        "-,                              -,     0,     false,        false",
        "A,                              A,     1,     false,        false",
        "A not-run B,                    A B,   2,     false,        false",
        "A misdirected,                  A,     1,     false,        false",
        "A unknown,                      A,     1,     true,         false",
        "A failed,                       A,     1,     true,         false",
        "A unknown B not-run,            A B,   2,     true,         false",
        "A not-sent,                     A,     0,     false,        false",
        "A not-sent late-at-A,           -,     0,     false,        true",
        "A not-sent late-at-A A,         A,     1,     false,        true",
        "A not-run B not-sent late-at-A, B,     1,     false,        true"
    })
    void shouldTrackAttempts(
            String events, String triedEndpoints, int count, boolean mayHaveRun, boolean connectedLate) {
        apply(events);
        assertEquals(set(triedEndpoints), attempts.triedEndpoints());
        assertEquals(count, attempts.count());
        assertEquals(mayHaveRun, attempts.mayHaveRun());
        assertEquals(connectedLate, attempts.connectedLate());
        assertEquals(new AttemptPolicy.Progress(count, mayHaveRun, 70), attempts.progress(70));
        assertEquals(new AttemptPolicy.Progress(count, true, 70), attempts.progressIfRun(70));
    }

    @ParameterizedTest
    @CsvSource({
        "-, true",
        "query, true",
        "query query, false",
        "query query A, true",
        "query A query, true",
        "A query query, false"
    })
    void shouldAllowTwoAgentQueriesBeforeOneAttempt(String events, boolean mayQuery) {
        apply(events);
        assertEquals(mayQuery, attempts.countAgentQuery());
    }
}
