package org.micabarrow.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.routing.EndpointEntry;
import org.micabarrow.routing.RequestKind;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.state.Result;
import org.micabarrow.views.RecordDecoder.OperatorRecord;
import org.micabarrow.views.StoredRecord;

/** What operators and endpoints write is decoded as it is meant. */
class StoreRecordsTest {

    private static final String ROUTE = """
            {"name":"r","host":"h","path_prefix":"/p/","kind":"%s","resumable":%s,"service":"s","max_attempts":2}""";

    private final StoreRecords records = new StoreRecords();

    private static StoredRecord record(String key, String json) {
        return new StoredRecord(key, 4, json.getBytes(StandardCharsets.UTF_8));
    }

    private RouteManifest manifest(String json) {
        OperatorRecord read =
                records.operator(record("config", json)).toOptional().orElseThrow();
        return assertInstanceOf(OperatorRecord.ManifestSet.class, read).manifest();
    }

    @ParameterizedTest
    @CsvSource({
        "idempotent,     false, IDEMPOTENT",
        "non_idempotent, false, AT_MOST_ONCE",
        "streaming,      true,  RESUMABLE_STREAM",
        "streaming,      false, STREAM",
        "something_new,  false, AT_MOST_ONCE"
    })
    void shouldReadKindOfRoute(String word, boolean resumable, RequestKind kind) {
        String route = String.format(ROUTE, word, resumable);
        RouteManifest manifest = manifest("{\"version\":1,\"routes\":[" + route + "],\"services\":[]}");
        assertEquals(kind, manifest.route("h", "/p/x").orElseThrow().kind());
    }

    @Test
    void shouldTakeLongestPrefixOfHost() {
        RouteManifest manifest = manifest("""
                {"version":1,"services":[],"routes":[
                {"name":"short","host":"h","path_prefix":"/p/","kind":"idempotent","service":"s"},
                {"name":"long","host":"h","path_prefix":"/p/q/","kind":"idempotent","service":"s"},
                {"name":"other","host":"g","path_prefix":"/p/q/r/","kind":"idempotent","service":"s"}]}""");
        assertEquals("long", manifest.route("h", "/p/q/r/s").orElseThrow().name());
        assertEquals("short", manifest.route("h", "/p/qq").orElseThrow().name());
        assertTrue(manifest.route("h", "/p").isEmpty());
    }

    @Test
    void shouldReadOwnersOfKeys() {
        RouteManifest manifest = manifest("""
                {"version":1,"routes":[],"services":[],"tenants":[
                {"name":"org","api_keys":["k1","k2"],"priority":3},{"name":"plain","api_keys":["k3"]}]}""");
        assertEquals(Optional.of(3), manifest.owner("k2").orElseThrow().priority());
        assertEquals("plain", manifest.owner("k3").orElseThrow().organisation());
        assertTrue(manifest.owner("k4").isEmpty());
        assertTrue(manifest.keysNeeded());
    }

    @ParameterizedTest
    @CsvSource({
        "'{\"routes\":[],\"services\":[]}', version",
        "'{\"version\":1,\"services\":[]}', routes",
        "'{\"version\":1,\"routes\":[{\"host\":\"h\",\"service\":\"s\",\"kind\":\"idempotent\"}],\"services\":[]}', path_prefix",
        "'{\"version\":', JSON"
    })
    void shouldNameWhatIsWrongWithManifest(String json, String named) {
        Result<OperatorRecord> read = records.operator(record("config", json));
        assertTrue(read.cause().orElseThrow().message().contains(named), () -> read.toString());
    }

    @Test
    void shouldPassOverFieldsThatAreNotKnown() {
        RouteManifest manifest = manifest("{\"version\":9,\"routes\":[],\"services\":[],\"novelty\":{\"a\":[1]}}");
        assertEquals(9, manifest.version());
    }

    @Test
    void shouldReadNamedWeights() {
        OperatorRecord read = records.operator(record("version/m", "{\"model\":\"m\",\"version\":3}"))
                .toOptional()
                .orElseThrow();
        assertEquals(new OperatorRecord.WeightsNamed("m", 3), read);
    }

    @Test
    void shouldReadEntryOfEndpoint() {
        EndpointEntry entry = records.endpoint(record("i-1", """
                        {"service":"s","address":"10.0.0.1:80","zone":"z","slots":16,"state":"draining",
                        "models":[{"name":"m","version":2}],"layers":{"from":0,"target_version":5,"version":2}}""")).toOptional().orElseThrow();
        assertEquals("10.0.0.1", entry.instanceHost());
        assertTrue(entry.leaving());
        assertEquals(2, entry.models().get("m"));
        assertEquals(5, entry.layers());
    }
}
