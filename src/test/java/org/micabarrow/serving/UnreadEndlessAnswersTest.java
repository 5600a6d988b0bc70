package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.EndlessEndpoint;
import org.micabarrow.memory.HeldBytes;

/** Guards against many endless answers whose clients take nothing, and which fill an entry's memory or keep it from all others. */
class UnreadEndlessAnswersTest extends ServingFixture {

    private static final int CLIENTS = 24;

    /** Endpoints of 16 slots each. */
    private static final int ENDPOINTS = 2;

    private static final long HELD_LIMIT_BYTES = 32 << 20;

    /** What the entry may read for one client, buffers of the system included, in bytes. */
    private static final long MAX_CLIENT_BYTES = 16 << 20;

    private static final String FIRST = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\n\r\n";

    @Test
    void shouldCutUnreadAnswersAndAnswerOthers() throws Exception {
        held = new HeldBytes(HELD_LIMIT_BYTES);
        platform.publishManifest(2, "key-a", TIMEOUT.toMillis());
        platform.addEndpoint("sound", "models", 1);
        List<RawClient> clients = new ArrayList<>();
        try (EndlessEndpoint endless = new EndlessEndpoint(FIRST, "x", CLIENTS)) {
            for (int i = 1; i <= ENDPOINTS; i++) {
                platform.setAddress("endless-" + i, endless.address().replace("127.0.0.1", "127.0.0." + i));
                platform.register("endless-" + i, "plain", 0, "ready");
            }
            serveWithoutVersions();
            while (clients.size() < CLIENTS) {
                clients.add(new RawClient(clientAddress(), "/again/x", new byte[0]));
            }
            Await.until("the ends of all", () -> {
                assertEquals(200, sendRequest("/stream/x").status());
                assertTrue(held.bytes() <= HELD_LIMIT_BYTES, "held " + held.bytes());
                return endless.isClosedByPeer();
            });
            assertTrue(endless.sentBytes() < CLIENTS * MAX_CLIENT_BYTES, "sent " + endless.sentBytes());
        } finally {
            for (RawClient client : clients) {
                client.close();
            }
        }
        Await.until("nothing held", () -> held.bytes() == 0);
    }
}
