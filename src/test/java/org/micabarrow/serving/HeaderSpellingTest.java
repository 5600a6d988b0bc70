package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.Await;
import org.micabarrow.platform.standin.HostedEndpointStandin.Behaviour;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.process.HostedEntryProcess;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.Addresses;

/** A resumed stream repeats no event, however its client spells the names of its header fields. */
class HeaderSpellingTest {

    private static final int TIMEOUT_MILLIS = 10_000;

    /** Names of ordinary fields; the order of a hashed map depends on all of its keys. */
    private static final List<String> OTHER_FIELDS = List.of("accept", "origin", "user-agent", "x-request-id", "dnt");

    private HostedSystem platform;
    private HostedSettings settings;

    @BeforeEach
    void start() throws IOException {
        platform = HostedSystem.start();
        settings = platform.entrySettings();
        platform.addEndpoint("model-1", "models", 1);
        platform.addEndpoint("model-2", "models", 1);
    }

    @AfterEach
    void stop() throws Exception {
        platform.close();
    }

    private String response(String lastEventField, List<String> otherFields) throws IOException {
        String others = String.join(
                "", otherFields.stream().map(name -> name + ": v\r\n").toList());
        String request = "POST /stream/x HTTP/1.1\r\nhost: h.example\r\nkey: key-a\r\nattempt-id: attempt-1\r\n"
                + "model: model-a\r\ntoken-count: 100,20\r\ndeadline-ms: 3000\r\nconnection: close\r\n"
                + lastEventField + ": 0\r\n" + others + "content-length: 6\r\n\r\na body";
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.connect(Addresses.parse(settings.listen().clients().orElseThrow()));
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"Last-Event-Id", "last-event-id", "LAST-EVENT-ID", "Last-Event-ID", "lAST-eVENT-iD"})
    void shouldResumeAfterLastForwardedEventWhenClientStatesOneItself(String spelling) throws Exception {
        HostedEntryProcess entry = HostedEntryProcess.start(settings);
        Await.until("a manifest and the endpoints", () -> entry.takesRequests() && entry.endpoints() == 2);
        for (int others = 0; others <= OTHER_FIELDS.size(); others++) {
            platform.enqueueBehaviour(Behaviour.TRUNCATE);
            String response = response(spelling, OTHER_FIELDS.subList(0, others));
            List<String> ids =
                    response.lines().filter(line -> line.startsWith("id: ")).toList();
            assertEquals(List.of("id: 1", "id: 2", "id: 3"), ids, response);
        }
    }
}
