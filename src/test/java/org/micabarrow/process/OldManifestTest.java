package org.micabarrow.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.Await;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.platform.standin.HostedStoreStandin;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.standin.Ports;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpClient.HttpResponse;

/**
 * Users saw 76 proper requests answered 401 and 404 by entries of two regions.
 *
 * <p>Manifests followed each other without a pause for six seconds, each sent as soon as the one before was acknowledged.
 * Entries fell behind: when the last were acknowledged, some still went by manifests from over three seconds before. Clients
 * used keys and routes of the manifests between, and these entries, which had not read them, said that the key and the
 * route do not exist. An entry did not know how old its manifest was, and said "wrong" where it knew only "not by mine".
 *
 * <p>Evidence: each refused request was allowed by every manifest of the last three seconds, so that the entries lacked twelve
 * or more versions. The changes ended 0.5 s after the first refusal, and all entries had the last manifest 2.4 s later.
 */
class OldManifestTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int OK = 200;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    /** How often an entry is asked again that said that it may not know: enough that an answer by chance shows. */
    private static final int TIMES = 20;

    private HostedSystem platform;
    private HttpClient caller;
    private HostedSettings settings;

    /** What becomes of the store. */
    enum Ailment {
        /** It answers nothing. */
        SILENT {
            @Override
            void set(HostedStoreStandin store, boolean on) {
                store.setUnresponsive(on);
            }
        },
        /** It refuses every call. */
        REFUSES {
            @Override
            void set(HostedStoreStandin store, boolean on) {
                store.setRefusalStatus(on ? Optional.of(UNAVAILABLE) : Optional.empty());
            }
        };

        abstract void set(HostedStoreStandin store, boolean on);
    }

    @BeforeEach
    void start() {
        platform = HostedSystem.start();
        platform.addEndpoint("plain-1", "plain", 0);
        caller = HttpClient.start("test", 1);
        settings = platform.entrySettings();
    }

    @AfterEach
    void stop() throws Exception {
        caller.close();
        platform.close();
    }

    // -- a store that does not answer

    /** What manifest 2 adds is not wrong for an entry that has not heard of the store for longer than a manifest may take. */
    @ParameterizedTest
    @CsvSource({
        "SILENT,  /once/x, key-b",
        "SILENT,  /new/x,  key-a",
        "REFUSES, /once/x, key-b",
        "REFUSES, /new/x,  key-a"
    })
    void shouldSayThatItMayNotKnowWhenStoreHasNotAnsweredForLong(Ailment ailment, String path, String key)
            throws Exception {
        try (HostedEntryProcess running = HostedEntryProcess.start(settings)) {
            Await.until("the entry serves", () -> running.endpoints() == 1 && status("/once/x", "key-a") == OK);
            ailment.set(platform.store(), true);
            addKeyAndRoute();
            awaitStatus(UNAVAILABLE, path, key);
            for (int i = 0; i < TIMES; i++) {
                HttpResponse answer = ask(path, key);
                assertEquals(UNAVAILABLE, answer.status());
                assertTrue(answer.headers().contains("Retry-After"), "when to come back");
                assertEquals(OK, status("/once/x", "key-a"), "what its manifest allows is served on");
            }
            ailment.set(platform.store(), false);
            awaitStatus(OK, path, key);
        }
    }

    // -- a store that answers

    @Test
    void shouldRefuseWhatNoManifestAllowsWhenStoreAnswers() throws Exception {
        try (HostedEntryProcess running = HostedEntryProcess.start(settings)) {
            Await.until("the entry serves", () -> running.endpoints() == 1 && status("/once/x", "key-a") == OK);
            assertEquals(UNAUTHORIZED, status("/once/x", "key-b"));
            assertEquals(NOT_FOUND, status("/new/x", "key-a"));
            addKeyAndRoute();
            awaitStatus(OK, "/once/x", "key-b");
            assertEquals(UNAUTHORIZED, status("/once/x", "key-c"));
            assertEquals(NOT_FOUND, status("/newer/x", "key-a"));
        }
    }

    // -- peers

    /** An entry that never reads the store knows what its peer knew, and as of when; the peer is cut off from it later. */
    @Test
    void shouldGoByAgeOfPeersKnowledgeWhenEntryCannotReachTheStore() throws Exception {
        try (HostedEntryProcess peer = HostedEntryProcess.start(settings)) {
            Await.until("the peer serves", () -> peer.endpoints() == 1 && status("/once/x", "key-a") == OK);
            settings = withoutStore(platform.entrySettings(), settings.listen().peers());
            try (HostedEntryProcess running = HostedEntryProcess.start(settings)) {
                Await.until("the entry serves", () -> running.endpoints() == 1 && status("/once/x", "key-a") == OK);
                awaitStatus(UNAUTHORIZED, "/once/x", "key-b");
                awaitStatus(NOT_FOUND, "/new/x", "key-a");
                platform.store().setUnresponsive(true);
                addKeyAndRoute();
                awaitStatus(UNAVAILABLE, "/once/x", "key-b");
                for (int i = 0; i < TIMES; i++) {
                    assertEquals(UNAVAILABLE, status("/once/x", "key-b"));
                    assertEquals(UNAVAILABLE, status("/new/x", "key-a"));
                }
                platform.store().setUnresponsive(false);
                awaitStatus(OK, "/once/x", "key-b");
                awaitStatus(UNAUTHORIZED, "/once/x", "key-c");
            }
        }
    }

    private static HostedSettings withoutStore(HostedSettings own, String peer) {
        return new HostedSettings(
                own.instance(),
                own.regions(),
                own.listen(),
                own.peerPort(),
                List.of(peer),
                Ports.freeAddress(),
                own.endpoint(),
                own.service(),
                own.linkBitsPerSecond(),
                own.memoryMegabytes(),
                own.bounds(),
                own.log());
    }

    /** Asks until the answer has a status; the others that came show if it never does. */
    private void awaitStatus(int status, String path, String key) {
        Set<Integer> seen = new TreeSet<>();
        List<Integer> last = new ArrayList<>(List.of(0));
        try {
            Await.until("status " + status, () -> {
                last.set(0, status(path, key));
                seen.add(last.getFirst());
                return last.getFirst() == status;
            });
        } catch (AssertionError e) {
            throw new AssertionError(e.getMessage() + "; seen " + seen + ", the last " + last, e);
        }
    }

    private int status(String path, String key) {
        return ask(path, key).status();
    }

    private HttpResponse ask(String path, String key) {
        Map<String, String> headers =
                Map.of("Host", "h.example", "Key", key, "Attempt-Id", "id-" + System.nanoTime(), "Deadline-Ms", "3000");
        byte[] body = "a body".getBytes(StandardCharsets.UTF_8);
        String clients = settings.listen().clients().orElseThrow();
        HttpCall call = new HttpCall(
                Step.READ, "POST", URI.create("http://" + clients), Optional.of(path), HeaderFields.of(headers), body);
        return caller.call(call, TIMEOUT).toOptional().orElseThrow();
    }

    /** Writes manifest 2, which has a key and a route more than manifest 1. */
    private void addKeyAndRoute() {
        platform.store().append("keyed.op", "config", """
                {"version":2,"routes":[%s,%s],"services":[{"name":"plain","health_path":"/healthz","max_connections":100}],
                "limits":{"max_body_bytes":1000},
                "tenants":[{"name":"org-a","api_keys":["key-a"]},{"name":"org-b","api_keys":["key-b"]}]}""".formatted(route("/once/"), route("/new/")));
    }

    private static String route(String prefix) {
        return """
                {"name":"r%s","host":"h.example","path_prefix":"%s","kind":"non_idempotent","timeout_ms":2000,
                "target_latency_ms":500,"priority":1,"service":"plain","max_attempts":2,"public":false}""".formatted(prefix.replace('/', '-'), prefix);
    }
}
