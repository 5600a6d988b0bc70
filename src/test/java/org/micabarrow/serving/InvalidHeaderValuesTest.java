package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.Await;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.process.HostedEntryProcess;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpClient.HttpResponse;

/**
 * Guards against clients that send impossible numbers in headers: they get a response, and other clients are served as
 * usual.
 */
class InvalidHeaderValuesTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private HostedSystem platform;
    private HttpClient caller;
    private HostedSettings settings;

    @BeforeEach
    void start() throws IOException {
        platform = HostedSystem.start();
        caller = HttpClient.start("test", 1);
        settings = platform.entrySettings();
        platform.addEndpoint("model-1", "models", 1);
        HostedEntryProcess entry = HostedEntryProcess.start(settings);
        Await.until("the entry knows its endpoint", () -> entry.takesRequests() && entry.endpoints() == 1);
    }

    @AfterEach
    void stop() throws Exception {
        caller.close();
        platform.close();
    }

    private int status(String id, Map<String, String> headers) {
        HttpCall call = HostedSystem.request(settings.listen().clients().orElseThrow(), "/stream/x", id);
        for (Map.Entry<String, String> header : headers.entrySet()) {
            call = call.withHeader(header.getKey(), header.getValue());
        }
        return caller.call(call, TIMEOUT).toOptional().map(HttpResponse::status).orElse(0);
    }

    @ParameterizedTest
    @CsvSource({
        "Token-Count, '-5,10',                      200",
        "Token-Count, '99999999999999999999999,10', 200",
        "Token-Count, 'many',                       200",
        "Token-Count, ',',                          200",
        "Token-Count, '4294967296,10',              503",
        "Token-Count, '9223372036854775807,10',     503",
        "Deadline-Ms, '9223372036854775807',        200",
        "Deadline-Ms, '-1',                         200",
        "Deadline-Ms, 'soon',                       200"
    })
    void shouldRespondAndServeNextRequestWhenHeaderValueIsInvalid(String header, String value, int status) {
        assertEquals(status, status("attempt-1", Map.of(header, value)));
        assertEquals(200, status("attempt-2", Map.of()));
    }

    @Test
    void shouldServeOthersWhenManyRequestsClaimHugePrompts() {
        for (int i = 0; i < 50; i++) {
            assertEquals(503, status("huge-" + i, Map.of("Token-Count", "2147483647,10")));
        }
        assertEquals(200, status("valid", Map.of()));
    }
}
