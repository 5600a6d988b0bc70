package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** Guards against sending an endpoint more requests per second than its rate limit allows. */
class RateLimitedEndpointTest extends ServingFixture {

    private static final long WINDOW_MILLIS = 4_000;
    private static final long APPLIED_AFTER_MILLIS = 3_000;
    private static final long STEP_MILLIS = 100;

    /** When the rate-limited endpoint received its requests, by the test clock. */
    private final List<Long> arrivals = new ArrayList<>();

    @BeforeEach
    void start() {
        addPlainEndpoint();
    }

    /** Sends ten requests per second, and returns their statuses. */
    private List<Integer> sendRequestsFor(long millis) {
        List<Integer> statuses = new ArrayList<>();
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            clockMillis.addAndGet(STEP_MILLIS);
            int before = received("plain-1");
            statuses.add(sendRequest("/once/x").status());
            if (received("plain-1") > before) {
                arrivals.add(clockMillis.get());
            }
        }
        return statuses;
    }

    private long maxInWindow(long fromMillis) {
        return arrivals.stream()
                .filter(start -> start >= fromMillis)
                .mapToLong(start -> arrivals.stream()
                        .filter(at -> at >= start && at < start + WINDOW_MILLIS)
                        .count())
                .max()
                .orElse(0);
    }

    @Test
    void shouldStayWithinRateLimitWhenEndpointNamesOne() throws IOException {
        serveWithoutVersions();
        sendRequestsFor(2_000);
        platform.endpoint("plain-1").setRateLimit(1);
        long limitedAt = clockMillis.get();
        List<Integer> statuses = sendRequestsFor(30_000);
        long max = maxInWindow(limitedAt + APPLIED_AFTER_MILLIS);
        assertTrue(max <= 1.5 * WINDOW_MILLIS / 1_000 + 5, max + " requests in four seconds");
        long served = statuses.stream().filter(status -> status == 200).count();
        assertEquals(
                statuses.size() - served,
                statuses.stream().filter(status -> status == 503).count());
        assertTrue(served > 0, "some are served");
    }

    @Test
    void shouldServeElsewhereWhenOverRateLimit() throws IOException {
        platform.addEndpoint("plain-2", "plain", 0);
        serveWithoutVersions();
        Await.until("the endpoints", () -> views.view().endpoints().size() == 2);
        platform.endpoint("plain-1").setRateLimit(0.5);
        long limitedAt = clockMillis.get();
        List<Integer> statuses = sendRequestsFor(20_000);
        assertEquals(
                statuses.size(),
                statuses.stream().filter(status -> status == 200).count());
        long max = maxInWindow(limitedAt + APPLIED_AFTER_MILLIS);
        assertTrue(max <= 0.5 * 1.5 * WINDOW_MILLIS / 1_000 + 5, max + " requests in four seconds");
    }

    @Test
    void shouldSendRetryDelayWhenOverRateLimit() throws IOException {
        serveWithoutVersions();
        platform.endpoint("plain-1").setRateLimit(0.1);
        assertEquals(200, sendRequest("/once/x").status());
        HttpResponse refused = sendRequest("/once/x");
        assertEquals(503, refused.status());
        assertTrue(Double.parseDouble(refused.headers().first("Retry-After").orElseThrow()) > 0);
        assertEquals(1, received("plain-1"));
    }

    @Test
    void shouldSendAsBeforeWhenRateLimitIsRemoved() throws IOException {
        serveWithoutVersions();
        platform.endpoint("plain-1").setRateLimit(50);
        sendRequestsFor(5_000);
        platform.endpoint("plain-1").clearRateLimit();
        sendRequestsFor(60_000);
        int before = arrivals.size();
        assertEquals(List.of(200), sendRequestsFor(1_000).stream().distinct().toList());
        assertEquals(before + 10, arrivals.size());
    }
}
