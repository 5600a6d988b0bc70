package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.transport.HttpClient.HttpAnswer;

/** Guards against sending an endpoint more requests a second than it says that it takes. */
class LimitTest extends ServingFixture {

    private static final long WINDOW_MILLIS = 4_000;
    private static final long HEEDED_AFTER_MILLIS = 3_000;
    private static final long STEP_MILLIS = 100;

    /** When the endpoint with a limit got its requests, on the clock that the test moves. */
    private final List<Long> arrivals = new ArrayList<>();

    @BeforeEach
    void start() {
        onePlainEndpoint();
    }

    /** Ten requests a second; returns their statuses. */
    private List<Integer> askFor(long millis) {
        List<Integer> statuses = new ArrayList<>();
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            clockMillis.addAndGet(STEP_MILLIS);
            int before = received("plain-1");
            statuses.add(ask("/once/x").status());
            if (received("plain-1") > before) {
                arrivals.add(clockMillis.get());
            }
        }
        return statuses;
    }

    private long mostInWindow(long fromMillis) {
        return arrivals.stream()
                .filter(start -> start >= fromMillis)
                .mapToLong(start -> arrivals.stream()
                        .filter(at -> at >= start && at < start + WINDOW_MILLIS)
                        .count())
                .max()
                .orElse(0);
    }

    @Test
    void shouldSendNoMoreThanEndpointTakesWhenItNamesLimit() throws IOException {
        serveWithoutVersions();
        askFor(2_000);
        platform.endpoint("plain-1").limit(1);
        long namedAt = clockMillis.get();
        List<Integer> statuses = askFor(30_000);
        long most = mostInWindow(namedAt + HEEDED_AFTER_MILLIS);
        assertTrue(most <= 1.5 * WINDOW_MILLIS / 1_000 + 5, most + " requests in four seconds");
        long served = statuses.stream().filter(status -> status == 200).count();
        assertEquals(
                statuses.size() - served,
                statuses.stream().filter(status -> status == 503).count());
        assertTrue(served > 0, "some are served");
    }

    @Test
    void shouldServeElsewhereWhatIsOverLimit() throws IOException {
        platform.add("plain-2", "plain", 0);
        serveWithoutVersions();
        Await.until("the endpoints", () -> views.view().endpoints().size() == 2);
        platform.endpoint("plain-1").limit(0.5);
        long namedAt = clockMillis.get();
        List<Integer> statuses = askFor(20_000);
        assertEquals(
                statuses.size(),
                statuses.stream().filter(status -> status == 200).count());
        long most = mostInWindow(namedAt + HEEDED_AFTER_MILLIS);
        assertTrue(most <= 0.5 * 1.5 * WINDOW_MILLIS / 1_000 + 5, most + " requests in four seconds");
    }

    @Test
    void shouldTellClientWhenToComeBackWhenOverLimit() throws IOException {
        serveWithoutVersions();
        platform.endpoint("plain-1").limit(0.1);
        assertEquals(200, ask("/once/x").status());
        HttpAnswer refused = ask("/once/x");
        assertEquals(503, refused.status());
        assertTrue(Double.parseDouble(refused.headers().get("Retry-After")) > 0);
        assertEquals(1, received("plain-1"));
    }

    @Test
    void shouldSendAsBeforeWhenEndpointNamesNoLimitAnyMore() throws IOException {
        serveWithoutVersions();
        platform.endpoint("plain-1").limit(50);
        askFor(5_000);
        platform.endpoint("plain-1").endLimit();
        askFor(60_000);
        int before = arrivals.size();
        assertEquals(List.of(200), askFor(1_000).stream().distinct().toList());
        assertEquals(before + 10, arrivals.size());
    }
}
