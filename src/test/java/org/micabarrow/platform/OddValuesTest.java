package org.micabarrow.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.standin.Ports;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpListener;
import org.micabarrow.views.StoredRecord;
import org.micabarrow.views.Topic;

/** Odd values in what other programs wrote end in a reason or a usable value, on threads with a small stack too. */
class OddValuesTest {

    /** The stack of a thread as deployed, in bytes. */
    private static final long STACK_BYTES = 256 * 1024;

    private final StoreRecords records = new StoreRecords();
    private volatile byte[] answer = {};
    private String address;
    private HttpListener listener;
    private HttpClient caller;

    @BeforeEach
    void start() {
        address = Ports.freeAddress();
        listener = HttpListener.start(
                address,
                HttpListener.Limits.defaults(),
                1,
                Optional.empty(),
                exchange -> exchange.getResponseSender().send(java.nio.ByteBuffer.wrap(answer)));
        caller = HttpClient.start("test", 1);
    }

    @AfterEach
    void stop() {
        caller.close();
        listener.close();
    }

    /** Uses each of the texts on a thread with a small stack, and names the first that ended it. */
    private static void useAll(List<String> texts, Consumer<byte[]> use) throws InterruptedException {
        List<String> ended = new ArrayList<>();
        AtomicReference<String> current = new AtomicReference<>("");
        Thread thread = new Thread(
                null,
                () -> texts.forEach(text -> {
                    current.set(text);
                    use.accept(text.getBytes(StandardCharsets.UTF_8));
                }),
                "small-stack",
                STACK_BYTES);
        thread.setUncaughtExceptionHandler((ignored, error) -> ended.add(error + " at " + shortened(current.get())));
        thread.start();
        thread.join();
        assertEquals(List.of(), ended);
    }

    private static String shortened(String text) {
        return text.length() <= 200 ? text : text.substring(0, 200) + "...";
    }

    private static StoredRecord record(String key, byte[] value) {
        return new StoredRecord(key, 0, value);
    }

    private static void assertUsable(EndpointRegistration registration) {
        assertTrue(registration.slots() > 0);
        assertTrue(registration.layers() >= 0);
        assertTrue(registration.coldLeftMillis() >= 0);
        assertEquals(registration, registration.withStart(registration.startedMillis()));
    }

    // -- records of the store

    @Test
    void shouldNotEndReaderWhenEntryOfEndpointIsOdd() throws Exception {
        useAll(
                OddValues.entries("plain", "10.0.0.1:80", "hall-a"),
                value -> records.decodeEndpointRegistration(record("i-1", value))
                        .toOptional()
                        .ifPresent(OddValuesTest::assertUsable));
    }

    @Test
    void shouldNotEndReaderWhenManifestIsOdd() throws Exception {
        List<String> manifests = OddValues.inPlaceOfFields(
                List.of("version", "routes", "services", "limits", "tenants"), List.of("1", "[]", "[]", "{}", "[]"));
        List<String> routes = OddValues.inPlaceOfFields(
                List.of(
                        "host",
                        "path_prefix",
                        "kind",
                        "service",
                        "timeout_ms",
                        "target_latency_ms",
                        "priority",
                        "max_attempts",
                        "resumable",
                        "allowed_regions",
                        "traffic_split"),
                List.of("\"h\"", "\"/\"", "\"streaming\"", "\"s\"", "1", "1", "1", "1", "true", "[]", "[]"));
        List<String> services = OddValues.inPlaceOfFields(
                List.of("name", "health_path", "max_connections", "cold_per_s", "engine", "origin"),
                List.of("\"s\"", "\"/\"", "1", "1", "{}", "\"10.0.0.1:80\""));
        List<String> all = new ArrayList<>(manifests);
        routes.forEach(route -> all.add("{\"version\":1,\"routes\":[" + route + "],\"services\":[]}"));
        services.forEach(service -> all.add("{\"version\":1,\"routes\":[],\"services\":[" + service + "]}"));
        useAll(all, value -> records.decodeOperatorRecord(record("config", value)));
    }

    @Test
    void shouldNotEndReaderWhenNamedVersionIsOdd() throws Exception {
        List<String> versions = OddValues.inPlaceOfFields(
                List.of("model", "version", "named", "named_by", "offset", "era", "read_to", "read_to_era"),
                List.of("\"m\"", "2", "1", "1", "1", "0", "1", "0"));
        useAll(versions, value -> {
            for (String key : List.of("version/m", "manifest/1", "evacuate/hall-a", "other")) {
                records.decodeOperatorRecord(record(key, value));
                records.savedReadTo(record(key, value));
            }
        });
    }

    @Test
    void shouldNotEndReaderWhenCrashRecordIsOdd() throws Exception {
        List<String> crashes = OddValues.inPlaceOfFields(
                List.of("endpoint", "aboard", "begun", "parts", "at", "cleared", "part", "whole"),
                List.of("\"i-1\"", "[]", "[]", "{}", "1", "\"" + "1".repeat(32) + "\"", "\"p\"", "true"));
        useAll(crashes, value -> CrashRecords.read(record("crash/i-1", value)));
    }

    // -- answers

    @Test
    void shouldNotEndReaderWhenAnswerOfEndpointIsOdd() throws Exception {
        EndpointCalls calls = new EndpointCalls(caller, address, () -> 16);
        List<String> reports = OddValues.inPlaceOfFields(
                List.of("models", "layers", "busy", "sequence", "running", "queued", "pace", "kv_used", "born"),
                List.of("[]", "{}", "false", "1", "1", "1", "1.0", "1", "1"));
        useAll(reports, value -> {
            answer = value;
            calls.report();
            new EndpointHeaders().decodeIdentity(HeaderFields.empty(), value);
        });
    }

    @Test
    void shouldNotEndReaderWhenAnswerOfOriginIsOdd() throws Exception {
        OriginCalls calls = new OriginCalls(caller);
        List<String> lists = OddValues.inPlaceOfFields(
                List.of("model", "version", "chunk_bytes", "layers", "digests"),
                List.of("\"m\"", "2", "1", "16", "[\"00\"]"));
        useAll(lists, value -> {
            answer = value;
            calls.newest(address, "m");
            calls.digests(address, "m", 2);
        });
    }

    @Test
    void shouldNotEndReaderWhenAnswerOfStoreIsOdd() throws Exception {
        StoreClient calls = new StoreClient(caller, address, Duration.ofSeconds(5));
        List<String> pages = new ArrayList<>(
                OddValues.inPlaceOfFields(List.of("items", "end", "has_more"), List.of("[]", "1", "false")));
        OddValues.inPlaceOfFields(List.of("private_key", "value", "offset"), List.of("\"k\"", "\"AAAA\"", "0"))
                .forEach(item -> pages.add("{\"items\":[" + item + "],\"end\":1,\"has_more\":false}"));
        useAll(pages, value -> {
            answer = value;
            calls.readLatest(Topic.ENDPOINTS);
            calls.read(Topic.ENDPOINTS, 0, Duration.ZERO);
        });
    }
}
