package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.Await;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** Guards against sending a cold endpoint more requests per second than it bears. */
class ColdEndpointTest extends ServingFixture {

    private static final double PER_SECOND = 2;
    private static final long STEP_MILLIS = 50;

    private void manifest(double coldPerSecond) {
        platform.store()
                .append(
                        "keyed.op",
                        "config",
                        "{\"version\":9,\"routes\":[{\"host\":\"h.example\",\"path_prefix\":\"/again/\","
                                + "\"kind\":\"idempotent\",\"service\":\"plain\",\"max_attempts\":2}],"
                                + "\"services\":[{\"name\":\"plain\",\"max_connections\":100,\"cold_s\":3.0,"
                                + "\"cold_per_s\":" + coldPerSecond + "}],"
                                + "\"tenants\":[{\"name\":\"org-a\",\"api_keys\":[\"key-a\"]}]}");
    }

    private void register(String id, String coldLeft, int sequence) {
        platform.store()
                .append(
                        "keyed.servers",
                        id,
                        String.format(
                                Locale.ROOT,
                                "{\"service\":\"plain\",\"address\":\"%s\",\"zone\":\"hall-a\",\"slots\":16,"
                                        + "\"state\":\"ready\",\"cold_left_ms\":%s,\"sequence\":%d}",
                                platform.address(id),
                                coldLeft,
                                sequence));
    }

    private void start(double coldPerSecond) throws IOException {
        platform.addEndpoint("plain-1", "plain", 0);
        manifest(coldPerSecond);
        serveWithoutVersions();
        Await.until("the manifest", () -> views.view().manifest().orElseThrow().version() == 9);
        selector.entryCount().reported(1, clockMillis.get());
    }

    /** Sends a request every 50 ms, and returns the number that the endpoint received. */
    private int receivedFor(long millis) {
        int before = received("plain-1");
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            clockMillis.addAndGet(STEP_MILLIS);
            sendRequest("/again/x");
        }
        return received("plain-1") - before;
    }

    private void awaitCold() {
        Await.until("the cold time", () -> cold.count(clockMillis.get()) == 1);
    }

    @Test
    void shouldStayWithinLimitUntilColdTimeEnds() throws IOException {
        start(PER_SECOND);
        assertEquals(20, receivedFor(1_000));
        register("plain-1", "5000", 1);
        awaitCold();
        for (int second = 0; second < 4; second++) {
            int received = receivedFor(1_000);
            assertTrue(received <= PER_SECOND * 1.5 + 5, received + " requests in one second");
        }
        receivedFor(1_000);
        assertEquals(20, receivedFor(1_000));
    }

    /** The cold time of an endpoint is counted from each statement, also if nothing else in its registration changes. */
    @Test
    void shouldStayWithinLimitWhenEndpointStatesSameColdTimeAgain() throws IOException {
        start(PER_SECOND);
        for (int sequence = 1; sequence < 5; sequence++) {
            register("plain-1", "3000", sequence);
            long until = clockMillis.get() + 3_000;
            Await.until(
                    "the statement",
                    () -> cold.leftMillis(
                                    views.view().endpoints().get("plain-1").start(), until - 1)
                            > 0);
            int received = receivedFor(1_000);
            assertTrue(received <= PER_SECOND * 1.5 + 5, received + " requests in one second");
        }
    }

    @Test
    void shouldRefuseTruthfullyWhenOverLimit() throws IOException {
        start(0.1);
        register("plain-1", "60000", 1);
        awaitCold();
        receivedFor(1_000);
        HttpResponse refused = sendRequest("/again/x");
        assertEquals(503, refused.status());
        assertTrue(new String(refused.body(), StandardCharsets.UTF_8).contains("what they take a second"));
        assertTrue(Double.parseDouble(refused.headers().first("Retry-After").orElseThrow()) > 0);
    }

    @ParameterizedTest
    @ValueSource(strings = {"0", "-1", "\"soon\"", "null", "{}", "[3000]", "true"})
    void shouldServeAsUsualWhenColdTimeIsNone(String coldLeft) throws IOException {
        start(PER_SECOND);
        platform.addEndpoint("plain-2", "plain", 0);
        register("plain-1", coldLeft, 1);
        register("plain-2", "1", 1);
        awaitCold();
        assertEquals(0, cold.leftMillis(views.view().endpoints().get("plain-1").start(), clockMillis.get()));
    }

    @ParameterizedTest
    @ValueSource(strings = {"1e300", "9223372036854775807", "99999999999999999999999"})
    void shouldCapAbsurdColdTime(String coldLeft) throws IOException {
        start(PER_SECOND);
        register("plain-1", coldLeft, 1);
        awaitCold();
        clockMillis.addAndGet(60_000);
        assertEquals(0, cold.count(clockMillis.get()));
        assertEquals(20, receivedFor(1_000));
    }

    @Test
    void shouldServeAsUsualWhenServiceSetsNoLimit() throws IOException {
        start(0);
        register("plain-1", "5000", 1);
        awaitCold();
        assertEquals(20, receivedFor(1_000));
    }
}
