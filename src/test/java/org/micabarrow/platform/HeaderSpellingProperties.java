package org.micabarrow.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.micabarrow.Spellings;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.serving.EndpointProtocol.AttemptParameters;
import org.micabarrow.serving.EndpointProtocol.ResponseHead;
import org.micabarrow.serving.RequestReader.ReadResult;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.views.RecordDecoder.OperatorRecord;
import org.micabarrow.views.StoredRecord;

/** Guards against fields that are read, set or removed in one spelling of their names and not in another. */
class HeaderSpellingProperties {

    /** What the platform's pages let clients send, and what belongs to one connection or is the system's to set. */
    private static final Map<String, String> REQUEST = new TreeMap<>(Map.ofEntries(
            Map.entry("Host", "h.example"),
            Map.entry("Attempt-Id", "attempt-1"),
            Map.entry("Last-Event-Id", "5"),
            Map.entry("Model", "model-a"),
            Map.entry("Token-Count", "146,80"),
            Map.entry("Prompt-Prefix", "5c1e07a2:80,0000000a:66"),
            Map.entry("Length-Hint", "40"),
            Map.entry("Deadline-Ms", "6000"),
            Map.entry("Key", "key-a"),
            Map.entry("Tenant", "forged"),
            Map.entry("Expect-Instance", "forged"),
            Map.entry("Expect-Version", "77"),
            Map.entry("Request-Priority", "0"),
            Map.entry("Connection", "keep-alive, x-hop"),
            Map.entry("X-Hop", "forged"),
            Map.entry("Keep-Alive", "timeout=5"),
            Map.entry("TE", "trailers"),
            Map.entry("X-Other", "kept")));

    private static final Map<String, String> RESPONSE = new TreeMap<>(Map.ofEntries(
            Map.entry("Attempt-Id", "attempt-1"),
            Map.entry("Server-Seal", "s"),
            Map.entry("Not-Executed", "1"),
            Map.entry("Weight-Versions", "3"),
            Map.entry("Retry-After", "2"),
            Map.entry("Server-Leaving", "1"),
            Map.entry("Server-Limit", "4.5"),
            Map.entry("Cold-Ms", "700"),
            Map.entry("Content-Type", "text/event-stream"),
            Map.entry("Connection", "close, x-hop"),
            Map.entry("X-Hop", "forged"),
            Map.entry("Transfer-Encoding", "chunked"),
            Map.entry("X-Other", "kept")));

    private static final List<String> FORWARDED = List.of(
            "Attempt-Id", "Host", "Last-Event-Id", "Length-Hint", "Model", "Prompt-Prefix", "Token-Count", "X-Other");

    private final RouteManifest manifest = manifest();

    private static RouteManifest manifest() {
        String json = "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\",\"path_prefix\":\"/stream/\","
                + "\"kind\":\"streaming\",\"service\":\"models\",\"timeout_ms\":9000,\"target_latency_ms\":500,"
                + "\"priority\":4,\"max_attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true}],"
                + "\"services\":[],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1000,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"org-a\",\"api_keys\":[\"key-a\"],\"priority\":1}]}";
        Result<OperatorRecord> read = new StoreRecords()
                .decodeOperatorRecord(new StoredRecord("config", 0, json.getBytes(StandardCharsets.UTF_8)));
        return ((OperatorRecord.ManifestPublished) read.toOptional().orElseThrow(() -> new AssertionError(read)))
                .manifest();
    }

    /** For each field a spelling of its name, by the bits of a number. */
    @Provide
    Arbitrary<List<Long>> spellings() {
        return Combinators.combine(
                        Arbitraries.of(0L, -1L), Arbitraries.longs().list().ofSize(REQUEST.size()))
                .as((same, each) ->
                        each.stream().map(one -> one % 3 == 0 ? same : one).toList());
    }

    private static HeaderFields spelled(Map<String, String> fields, List<Long> spellings) {
        HeaderFields all = HeaderFields.empty();
        int next = 0;
        for (Map.Entry<String, String> field : fields.entrySet()) {
            all = all.and(Spellings.of(field.getKey(), spellings.get(next++)), field.getValue());
        }
        return all;
    }

    private ClientRequest read(HeaderFields fields) {
        HeaderMap headers = new HeaderMap();
        fields.forEach(field -> headers.add(new HttpString(field.name()), field.value()));
        HttpServerExchange exchange = new HttpServerExchange(null, headers, new HeaderMap(), 0);
        exchange.setRequestMethod(new HttpString("POST"));
        exchange.setRequestURI("/stream/x");
        exchange.setQueryString("");
        ReadResult result =
                new RequestHeaders(RandomGenerator.of("L64X128MixRandom")).read(exchange, new byte[0], manifest, 1_000);
        return ((ReadResult.Allowed) result).request();
    }

    @Property(tries = 300, seed = "51")
    void shouldReadRequestAlikeWhateverTheCaseOfItsNames(@ForAll("spellings") List<Long> spellings) {
        ClientRequest request = read(spelled(REQUEST, spellings));
        assertEquals("attempt-1", request.id());
        assertEquals("h.example", request.host());
        assertEquals(Optional.of("org-a"), request.organisation());
        assertEquals(7_000, request.deadlineMillis());
        assertEquals(146, request.promptTokens());
        assertEquals(Set.of("5c1e07a2"), request.sharedPromptParts());
        assertEquals(FORWARDED.size(), request.headers().toList().size(), request.headers()::toString);
        FORWARDED.forEach(name ->
                assertEquals(List.of(REQUEST.get(name)), request.headers().all(name)));
    }

    @Property(tries = 300, seed = "52")
    void shouldSendWhatSystemSetsOnceWhateverTheCaseOfClientsNames(@ForAll("spellings") List<Long> spellings) {
        // As if no field had been removed before.
        ClientRequest read = read(spelled(REQUEST, spellings));
        ClientRequest request = new ClientRequest(
                read.id(),
                read.method(),
                read.target(),
                read.host(),
                spelled(REQUEST, spellings),
                read.body(),
                read.route(),
                read.service(),
                read.organisation(),
                read.priority(),
                read.deadlineMillis(),
                read.size(),
                read.sharedPromptParts(),
                read.allowedRegions());
        EndpointRegistration endpoint = new EndpointRegistration(
                "endpoint-1",
                "models",
                "10.0.0.1:8080",
                "hall-a",
                16,
                false,
                Map.of("model-a", 3L),
                16,
                OptionalLong.empty(),
                OptionalLong.empty(),
                0);
        HttpCall call = new EndpointHeaders()
                .encode(request, new AttemptParameters(endpoint, 400, Optional.of(3L), Optional.of("18"), false));
        Map<String, String> set = Map.of(
                "Host", "h.example",
                "Deadline-Ms", "400",
                "Expect-Instance", "endpoint-1",
                "Expect-Version", "3",
                "Tenant", "org-a",
                "Request-Priority", "1",
                "Last-Event-Id", "18");
        set.forEach((name, value) -> assertEquals(List.of(value), call.headers().all(name), name));
    }

    @Property(tries = 300, seed = "53")
    void shouldDecodeResponseAlikeWhateverTheCaseOfItsNames(@ForAll("spellings") List<Long> spellings) {
        ClientRequest request = read(spelled(REQUEST, spellings));
        ResponseHead head = new EndpointHeaders().decodeHead(request, 503, spelled(RESPONSE, spellings));
        assertEquals(
                new ResponseHead(
                        503,
                        true,
                        true,
                        true,
                        false,
                        Optional.of(3L),
                        true,
                        OptionalLong.of(2_000),
                        OptionalDouble.of(4.5),
                        OptionalLong.of(700),
                        head.forwardedHeaders()),
                head);
        for (String hop : List.of("Connection", "X-Hop", "Transfer-Encoding")) {
            assertFalse(head.forwardedHeaders().contains(hop), hop);
        }
        assertEquals(RESPONSE.size() - 3, head.forwardedHeaders().toList().size());
        assertEquals(Optional.of("kept"), head.forwardedHeaders().first("X-Other"));
    }
}
