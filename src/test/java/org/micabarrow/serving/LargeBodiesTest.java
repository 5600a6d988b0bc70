package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.memory.HeldBytes;
import org.micabarrow.memory.MemoryLimit;

/** Guards against an entry that reads large bodies until it ends, and against refusals that are not true. */
class LargeBodiesTest extends ServingFixture {

    private static final int CLIENTS = 24;
    private static final int BODY_BYTES = 4 << 20;

    /** What the smallest entry may hold. */
    private static final long LIMIT_BYTES = MemoryLimit.bytes(96L << 20, OptionalLong.of(282));

    /** How many large bodies fit three quarters of that. */
    private static final int FITTING = 6;

    private static final String MANIFEST = """
            {"version":2,"routes":[{"name":"r","host":"h.example","path_prefix":"/once/","kind":"non_idempotent",
            "timeout_ms":60000,"target_latency_ms":500,"priority":1,"service":"plain","max_attempts":2,"public":false,
            "resumable":false}],"services":[{"name":"plain","health_path":"/healthz","max_connections":100}],
            "limits":{"max_body_bytes":4194304},"tenants":[{"name":"org-a","api_keys":["key-a"]}]}""";

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private SizedEndpoint endpoint;

    @AfterEach
    void stop() throws IOException {
        threads.shutdownNow();
        endpoint.close();
    }

    private String head(CompletableFuture<Void> refusedOrReleased) throws IOException {
        try (RawClient client = new RawClient(clientAddress(), "/once/held", new byte[BODY_BYTES])) {
            String head = client.readHead().toLowerCase(Locale.ROOT);
            refusedOrReleased.complete(null);
            return head;
        }
    }

    @Test
    void shouldRefuseLargeBodiesAndTakeSmallOnesWhenMemoryIsShort() throws Exception {
        held = new HeldBytes(LIMIT_BYTES);
        endpoint = new SizedEndpoint();
        platform.store().append("keyed.op", "config", MANIFEST);
        platform.setAddress("raw-1", endpoint.address());
        platform.register("raw-1", "plain", 0, "ready");
        serveWithoutVersions();
        List<CompletableFuture<Void>> ends = new ArrayList<>();
        List<Future<String>> heads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            CompletableFuture<Void> end = new CompletableFuture<>();
            ends.add(end);
            heads.add(threads.submit(() -> head(end)));
            int atEndpoint = Math.min(i + 1, FITTING);
            Await.until("large body " + atEndpoint, () -> endpoint.received.get() == atEndpoint);
        }
        Await.until(
                "the refusals",
                () -> ends.stream().filter(CompletableFuture::isDone).count() == CLIENTS - FITTING);
        assertTrue(held.bytes() <= LIMIT_BYTES, "held " + held.bytes());
        assertEquals(200, sendRequest("/once/100").status());
        endpoint.release();
        for (int i = 0; i < CLIENTS; i++) {
            String head = heads.get(i).get();
            assertTrue(head.startsWith(i < FITTING ? "http/1.1 200" : "http/1.1 503"), head);
            assertEquals(i >= FITTING, head.contains("retry-after: "), head);
        }
        // The refused ones have not run: the endpoint got the large bodies that fitted, and the small request.
        assertEquals(FITTING + 1, endpoint.received.get());
        Await.until("nothing held", () -> held.bytes() == 0);
    }
}
