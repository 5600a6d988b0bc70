package org.micabarrow.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.Await;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;

/** The store comes back from an older copy; operators and endpoints write again what was lost. */
class RestoredStoreTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int OK = 200;
    private static final int UNAUTHORIZED = 401;
    private static final int UNAVAILABLE = 503;
    private static final int MANIFESTS = 12;
    private static final int WRITES_PER_ENDPOINT = 12;

    /** Enough requests in a row that each of the endpoints gets some. */
    private static final int REQUESTS = 20;

    private static final List<String> ENDPOINTS = List.of("plain-1", "plain-2", "plain-3", "plain-4");

    private HostedSystem platform;
    private HttpClient caller;
    private HostedSettings settings;

    /** What is written before any process reads the restored store. */
    enum WrittenAgain {
        NEWEST_MANIFEST,
        EACH_MANIFEST,
        BEYOND_OLD_END
    }

    @BeforeEach
    void start() {
        platform = HostedSystem.start();
        ENDPOINTS.forEach(id -> platform.addEndpoint(id, "plain", 0));
        IntStream.rangeClosed(2, MANIFESTS)
                .forEach(version -> platform.publishManifest(version, "key-a", TIMEOUT.toMillis()));
        IntStream.range(0, WRITES_PER_ENDPOINT).forEach(i -> registerAll());
        caller = HttpClient.start("test", 1);
        settings = platform.entrySettings();
    }

    @AfterEach
    void stop() throws Exception {
        caller.close();
        platform.close();
    }

    private void registerAll() {
        ENDPOINTS.forEach(id -> platform.register(id, "plain", 0, "ready"));
    }

    @ParameterizedTest
    @CsvSource({
        "0, 0,  true,  NEWEST_MANIFEST",
        "1, 1,  true,  NEWEST_MANIFEST",
        "3, 40, false, NEWEST_MANIFEST",
        "5, 20, true,  NEWEST_MANIFEST",
        "5, 20, true,  EACH_MANIFEST",
        "5, 20, true,  BEYOND_OLD_END"
    })
    void shouldApplyChangesWhenStoreContinuesFromOlderCopy(
            int lostManifests, int lostEntries, boolean away, WrittenAgain writtenAgain) throws Exception {
        try (HostedEntryProcess entry = HostedEntryProcess.start(settings)) {
            Await.until(
                    "the entry serves",
                    () -> entry.endpoints() == ENDPOINTS.size() && status("/again/x", "key-a") == OK);
            platform.store().setRefusalStatus(away ? Optional.of(UNAVAILABLE) : Optional.empty());
            platform.store().restore(Map.of("keyed.op", lostManifests, "keyed.servers", lostEntries));
            writeAgain(writtenAgain, lostManifests);
            change();
            if (writtenAgain == WrittenAgain.BEYOND_OLD_END) {
                fillBeyondOldEnd();
            }
            platform.store().setRefusalStatus(Optional.empty());
            Await.until("the added route is served", () -> status("/more-0/x", "key-b") == OK);
            assertEquals(UNAUTHORIZED, status("/again/x", "key-a"), "the key has been taken away");
            Await.until("the endpoint that leaves gets no more requests", () -> receivedByLeaver() == 0);
        }
    }

    private void writeAgain(WrittenAgain writtenAgain, int lostManifests) {
        int first = writtenAgain == WrittenAgain.EACH_MANIFEST ? MANIFESTS - lostManifests + 1 : MANIFESTS;
        IntStream.rangeClosed(first, MANIFESTS)
                .forEach(version -> platform.publishManifest(version, "key-a", TIMEOUT.toMillis()));
        registerAll();
    }

    private void change() {
        platform.publishManifest(MANIFESTS + 1, "key-b", TIMEOUT.toMillis(), 1);
        platform.register("plain-1", "plain", 0, "draining");
    }

    private void fillBeyondOldEnd() {
        IntStream.range(0, MANIFESTS).forEach(i -> platform.store().append("keyed.op", "note", "{}"));
        IntStream.range(0, WRITES_PER_ENDPOINT).forEach(i -> registerOthers());
    }

    private void registerOthers() {
        ENDPOINTS.stream().skip(1).forEach(id -> platform.register(id, "plain", 0, "ready"));
    }

    /** Sends requests and returns how many of them the endpoint that leaves has received. */
    private int receivedByLeaver() {
        int before = platform.endpoint("plain-1").received().size();
        IntStream.range(0, REQUESTS).forEach(i -> status("/again/x", "key-b"));
        return platform.endpoint("plain-1").received().size() - before;
    }

    private int status(String path, String key) {
        HttpCall call = HostedSystem.request(settings.listen().clients().orElseThrow(), path, "id-" + System.nanoTime())
                .withHeader("Key", key);
        return caller.call(call, TIMEOUT).toOptional().orElseThrow().status();
    }
}
