package org.micabarrow.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.routing.AllowedRegions;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.RequestKind;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.state.CanonicalJson;
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
        OperatorRecord read = records.decodeOperatorRecord(record("config", json))
                .toOptional()
                .orElseThrow();
        return assertInstanceOf(OperatorRecord.ManifestPublished.class, read).manifest();
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

    /** Host names have no case (RFC 9110, 4.2.3). */
    @Test
    void shouldTakeRouteOfHostInAnyCase() {
        RouteManifest manifest = manifest("""
                {"version":1,"services":[],"routes":[
                {"name":"r","host":"Api.Example","path_prefix":"/p/","kind":"idempotent","service":"s"}]}""");
        assertEquals("r", manifest.route("api.example", "/p/x").orElseThrow().name());
        assertEquals("r", manifest.route("API.EXAMPLE", "/p/x").orElseThrow().name());
        assertTrue(manifest.route("api.example", "/P/x").isEmpty());
    }

    @Test
    void shouldReadOwnersOfKeys() {
        RouteManifest manifest = manifest("""
                {"version":1,"routes":[],"services":[],"tenants":[
                {"name":"org","api_keys":["k1","k2"],"priority":3},{"name":"plain","api_keys":["k3"]}]}""");
        assertEquals(Optional.of(3), manifest.owner("k2").orElseThrow().priority());
        assertEquals("plain", manifest.owner("k3").orElseThrow().organisation());
        assertTrue(manifest.owner("k4").isEmpty());
        assertTrue(manifest.keysRequired());
    }

    @ParameterizedTest
    @CsvSource({
        "'{\"routes\":[],\"services\":[]}', version",
        "'{\"version\":1,\"services\":[]}', routes",
        "'{\"version\":1,\"routes\":[{\"host\":\"h\",\"service\":\"s\",\"kind\":\"idempotent\"}],\"services\":[]}', path_prefix",
        "'{\"version\":', JSON"
    })
    void shouldNameWhatIsWrongWithManifest(String json, String named) {
        Result<OperatorRecord> read = records.decodeOperatorRecord(record("config", json));
        assertTrue(read.cause().orElseThrow().message().contains(named), () -> read.toString());
    }

    @ParameterizedTest
    @CsvSource({
        "'\"/healthz\"', /healthz",
        "'\"/a/b-c\"',   /a/b-c",
        "'\"healthz\"',  ",
        "'\"/a b\"',     ",
        "'\"/a?b\"',     ",
        "7,              ",
        "null,           "
    })
    void shouldReadHealthPathWhenItCanBeRequested(String told, String path) {
        RouteManifest manifest =
                manifest("{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\",\"health_path\":" + told + "}]}");
        assertEquals(
                Optional.ofNullable(path), manifest.service("s").orElseThrow().healthPath());
    }

    @Test
    void shouldReadAllowedRegionsOfRoutesAndOrganisations() {
        RouteManifest manifest = manifest("""
                {"version":1,"services":[],"routes":[
                {"name":"a","host":"h","path_prefix":"/a/","kind":"idempotent","service":"s","allowed_regions":["west"]},
                {"name":"b","host":"h","path_prefix":"/b/","kind":"idempotent","service":"s","allowed_regions":[]},
                {"name":"c","host":"h","path_prefix":"/c/","kind":"idempotent","service":"s"}],
                "tenants":[{"name":"o","api_keys":["k"],"allowed_regions":["east","west"]}]}""");
        assertEquals(
                AllowedRegions.only(Set.of("west")),
                manifest.route("h", "/a/").orElseThrow().allowedRegions());
        assertEquals(
                AllowedRegions.any(), manifest.route("h", "/b/").orElseThrow().allowedRegions());
        assertEquals(
                AllowedRegions.any(), manifest.route("h", "/c/").orElseThrow().allowedRegions());
        assertEquals(
                AllowedRegions.only(Set.of("east", "west")),
                manifest.owner("k").orElseThrow().allowedRegions());
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "2500, 2500", "-3, 0", "1e300, 60000", "'\"soon\"', 0", "null, 0"})
    void shouldReadTimeForWhichEndpointStaysCold(String told, long millis) {
        String json = "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":1,"
                + "\"state\":\"ready\",\"cold_left_ms\":" + told + "}";
        assertEquals(
                millis,
                records.decodeEndpointRegistration(record("e", json))
                        .toOptional()
                        .orElseThrow()
                        .coldLeftMillis());
    }

    @Test
    void shouldPassOverFieldsThatAreNotKnown() {
        RouteManifest manifest = manifest("{\"version\":9,\"routes\":[],\"services\":[],\"novelty\":{\"a\":[1]}}");
        assertEquals(9, manifest.version());
    }

    @Test
    void shouldReadNamedWeights() {
        OperatorRecord read = records.decodeOperatorRecord(record("version/m", "{\"model\":\"m\",\"version\":3}"))
                .toOptional()
                .orElseThrow();
        assertEquals(new OperatorRecord.WeightsNamed("m", 3, OptionalLong.empty(), OptionalLong.empty()), read);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"version\":3}",
                "{\"model\":\"m\"}",
                "{\"model\":\"m\",\"version\":\"3\"}",
                "{\"model\":\"m\",\"version\":3.5}",
                "{\"model\":\"m\",\"version\":true}",
                "{\"model\":\"m\",\"version\":0}",
                "{\"model\":\"m\",\"version\":99999999999999999999}",
                "{\"model\":7,\"version\":3}",
                "{\"model\":null,\"version\":3}",
                "{\"model\":\"m\",\"version\":3} 4",
                "[]",
                "null",
                "3"
            })
    void shouldRefuseNamedWeightsWhenFieldIsMissingOrOfAnotherType(String json) {
        assertTrue(
                records.decodeOperatorRecord(record("version/m", json)).cause().isPresent());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"version\":\"9\",\"routes\":[],\"services\":[]}",
                "{\"version\":9.5,\"routes\":[],\"services\":[]}",
                "{\"version\":9,\"routes\":{},\"services\":[]}",
                "{\"version\":9,\"routes\":[7],\"services\":[]}",
                "{\"version\":9,\"routes\":[],\"services\":\"s\"}",
                "{\"version\":9,\"routes\":[],\"services\":[{\"name\":5}]}",
                "{\"version\":9,\"routes\":[],\"services\":[{\"name\":\"s\",\"engine\":[]}]}",
                "{\"version\":9,\"routes\":[],\"services\":[],\"tenants\":[{\"name\":\"o\",\"api_keys\":[4]}]}",
                "{\"version\":9,\"routes\":[],\"services\":[],\"tenants\":\"none\"}",
                "{\"version\":9,\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/\",\"kind\":\"idempotent\",\"service\":1}],"
                        + "\"services\":[]}"
            })
    void shouldRefuseManifestWhenFieldIsOfAnotherType(String json) {
        assertTrue(records.decodeOperatorRecord(record("config", json)).cause().isPresent());
    }

    // -- what endpoints write

    private static final String ENTRY =
            "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":16,\"state\":\"ready\"}";

    private boolean refused(StoredRecord record) {
        return records.decodeEndpointRegistration(record).cause().isPresent();
    }

    /** One field of a good entry is put in place of another; a value of "-" leaves it out. */
    @ParameterizedTest
    @CsvSource({
        "service, -",
        "service, 7",
        "service, null",
        "service, '\"\"'",
        "service, '[\"s\"]'",
        "address, -",
        "address, 80",
        "address, '{}'",
        "address, '\"\"'",
        "address, '\"10.0.0.1\"'",
        "address, '\"10.0.0.1:\"'",
        "address, '\"10.0.0.1:0\"'",
        "address, '\"10.0.0.1:080\"'",
        "address, '\"10.0.0.1:65536\"'",
        "address, '\"10.0.0.1:99999999999\"'",
        "address, '\"10.0.0.256:80\"'",
        "address, '\"10.0.0.01:80\"'",
        "address, '\"10.0.0:80\"'",
        "address, '\"host:80\"'",
        "address, '\" 10.0.0.1:80\"'",
        "address, '\"10.0.0.1:80/x\"'",
        "zone, -",
        "zone, 3",
        "slots, -",
        "slots, '\"16\"'",
        "slots, 0",
        "slots, -1",
        "slots, 1.5",
        "slots, 1e3",
        "slots, 2147483648",
        "slots, 99999999999999999999999",
        "state, -",
        "state, true",
        "state, null",
        "state, '\"gone\"'",
        "state, '\"READY\"'",
        "models, '{}'",
        "models, '\"m\"'",
        "models, '[\"m\"]'",
        "models, '[{\"version\":1}]'",
        "models, '[{\"name\":1,\"version\":1}]'",
        "models, '[{\"name\":\"m\",\"version\":\"1\"}]'",
        "models, '[{\"name\":\"m\",\"version\":1.5}]'",
        "models, '[{\"name\":\"m\"}]'",
        "layers, 16",
        "layers, '\"all\"'",
        "layers, '[16]'",
        "layers, '{}'",
        "layers, '{\"from\":0}'",
        "layers, '{\"from\":\"0\",\"target_version\":5}'",
        "layers, '{\"from\":6,\"target_version\":5}'",
        "layers, '{\"from\":-1,\"target_version\":5}'",
        "born, null",
        "born, '\"1764718674123\"'",
        "born, 1764718674123.5",
        "born, -3",
        "born, 0",
        "born, 99999999999999999999999"
    })
    void shouldRefuseEntryWhenFieldIsMissingOrOfAnotherKind(String field, String value) throws IOException {
        ObjectNode entry = (ObjectNode) CanonicalJson.mapper().readTree(ENTRY);
        if (value.equals("-")) {
            entry.remove(field);
        } else {
            entry.set(field, CanonicalJson.mapper().readTree(value));
        }
        assertTrue(refused(record("i-1", entry.toString())), entry::toString);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                " ",
                "{",
                "null",
                "true",
                "7",
                "\"ready\"",
                "[]",
                "[" + ENTRY + "]",
                ENTRY + ENTRY,
                ENTRY + "]",
                "{\"state\":\"ready\",\"state\":\"draining\",\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
                        + "\"slots\":16}"
            })
    void shouldRefuseEntryThatIsNoObject(String json) {
        assertTrue(refused(record("i-1", json)));
    }

    @Test
    void shouldRefuseEntryOfBytesThatAreNoText() {
        byte[] bytes = ENTRY.getBytes(StandardCharsets.UTF_8);
        bytes[ENTRY.indexOf("\"s\"") + 1] = (byte) 0xFF;
        assertTrue(refused(new StoredRecord("i-1", 4, bytes)));
        assertTrue(refused(new StoredRecord("i-1", 4, new byte[] {(byte) 0x80, 0, 1, 2})));
    }

    @Test
    void shouldRefuseEntryThatIsNestedWithoutEnd() {
        String deep = "[".repeat(100_000);
        assertTrue(refused(record("i-1", deep)));
        assertTrue(refused(record("i-1", ENTRY.replace("}", ",\"models\":" + deep))));
    }

    @ParameterizedTest
    @ValueSource(strings = {"a b", "a\r\nForged: 1", "\u00e9", "\ufffd", ""})
    void shouldRefuseEntryWhenItsKeyCanStandInNoHeader(String key) {
        assertTrue(refused(record(key, ENTRY)));
    }

    @Test
    void shouldSayOnOneShortLineWhyEntryIsRefused() {
        String state = "x\\n\\\"".repeat(1_000);
        String why = records.decodeEndpointRegistration(record("i\n1", ENTRY.replace("}", state)))
                .cause()
                .orElseThrow()
                .toString();
        assertTrue(why.length() < 400, why);
        assertFalse(why.contains("\n"), why);
    }

    @Test
    void shouldReadWhenEndpointWasStarted() {
        String json = ENTRY.replace("}", ",\"born\":1764718674123}");
        EndpointRegistration entry = records.decodeEndpointRegistration(record("i-1", json))
                .toOptional()
                .orElseThrow();
        assertEquals(OptionalLong.of(1_764_718_674_123L), entry.startedMillis());
        EndpointRegistration older = records.decodeEndpointRegistration(record("i-1", ENTRY))
                .toOptional()
                .orElseThrow();
        assertEquals(OptionalLong.empty(), older.startedMillis());
    }

    @Test
    void shouldReadLayersThatAreHeldInSeveralRanges() {
        String json = ENTRY.replace(
                "}", ",\"layers\":[{\"from\":0,\"target_version\":5},{\"from\":8,\"target_version\":10}]}");
        assertEquals(
                7,
                records.decodeEndpointRegistration(record("i-1", json))
                        .toOptional()
                        .orElseThrow()
                        .layers());
    }

    @Test
    void shouldNotAddUpLayersOfTwoVersions() {
        String json = ENTRY.replace(
                "}",
                ",\"layers\":[{\"from\":0,\"target_version\":7,\"version\":1},"
                        + "{\"from\":7,\"target_version\":16,\"version\":2}]}");
        assertEquals(
                9,
                records.decodeEndpointRegistration(record("i-1", json))
                        .toOptional()
                        .orElseThrow()
                        .layers());
    }

    @Test
    void shouldReadEntryOfEndpoint() {
        EndpointRegistration entry = records.decodeEndpointRegistration(record("i-1", """
                        {"service":"s","address":"10.0.0.1:80","zone":"z","slots":16,"state":"draining",
                        "models":[{"name":"m","version":2}],"layers":{"from":0,"target_version":5,"version":2}}"""))
                .toOptional()
                .orElseThrow();
        assertEquals("10.0.0.1", entry.instanceHost());
        assertTrue(entry.draining());
        assertEquals(2, entry.models().get("m"));
        assertEquals(5, entry.layers());
    }
}
