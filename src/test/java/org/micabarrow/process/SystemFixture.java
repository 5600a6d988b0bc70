package org.micabarrow.process;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.micabarrow.Await;
import org.micabarrow.bench.LocalOptions;
import org.micabarrow.bench.LocalSystem;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.protocol.OperatorMessages;
import org.micabarrow.standin.WeightsStandin;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Digest;
import org.micabarrow.state.Fault;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;

/** A small system for tests: two entries, four engines in two halls, two billing services. */
final class SystemFixture implements AutoCloseable {

    static final String RIDERS = "token-of-riders";
    static final String VANS = "token-of-vans";
    static final List<String> ENGINES = List.of("norte-a-1", "norte-a-2", "sur-a-1", "sur-a-2");

    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    final LocalSystem system;
    final HttpClient http = HttpClient.start("test-caller", 2);
    final WeightsStandin.GeneratedWeights weights;

    SystemFixture(LocalOptions options) {
        system = LocalSystem.start(options);
        weights = make("assistant", 1);
        system.addEntry("entry-1", "norte", "norte-a");
        system.addEntry("entry-2", "sur", "sur-a");
        system.addEngine("norte-a-1", "norte", "norte-a");
        system.addEngine("norte-a-2", "norte", "norte-a");
        system.addEngine("sur-a-1", "sur", "sur-a");
        system.addEngine("sur-a-2", "sur", "sur-a");
        system.addService("billing-1", "norte", "norte-a", "billing", 5);
        system.addService("billing-2", "sur", "sur-a", "billing", 5);
        system.publishInstances();
    }

    WeightsStandin.GeneratedWeights make(String name, long seed) {
        return system.platform().weights().generate(new WeightsStandin.WeightsSpec(name, 2 << 20, 64 << 10, seed));
    }

    // -- operators

    String intent(String version, String halls, int replicas) {
        return """
                { // an intent with comments
                  "organisations": [
                    { "name": "riders", "tokenDigest": "%s" }, { "name": "vans", "tokenDigest": "%s" } ],
                  "placements": [
                    { "name": "assistant", "target": { "type": "model", "name": "assistant", "version": "%s" },
                      "halls": [%s], "organisations": ["riders"], "replicas": %d,
                      "envelope": { "replacements": 1, "originBytes": 9000000 } },
                    { "name": "billing", "target": { "type": "service", "name": "billing", "repeatable": false },
                      "organisations": ["riders"], "replicas": 2 } ]
                }
                """.formatted(Digest.of(RIDERS), Digest.of(VANS), version, halls, replicas);
    }

    HttpClient.HttpResponse operator(String entry, String token, String method, String path, String body) {
        HttpCall call = new HttpCall(
                        Fault.Step.READ,
                        method,
                        URI.create(system.operatorAddress(entry) + path),
                        HeaderFields.of("X-File", "intent.jsonc"),
                        body.getBytes(StandardCharsets.UTF_8))
                .withHeader("Authorization", "Bearer " + token);
        return http.call(call, TIMEOUT).toOptional().orElseThrow();
    }

    OperatorMessages.PlanResponse plan(String entry, String intent) throws IOException {
        HttpClient.HttpResponse answer = operator(entry, LocalSystem.OPERATOR_TOKEN, "POST", "/plan", intent);
        if (answer.status() != 200) {
            throw new AssertionError(new String(answer.body(), StandardCharsets.UTF_8));
        }
        return CanonicalJson.read(answer.body(), OperatorMessages.PlanResponse.class);
    }

    HttpClient.HttpResponse confirm(String entry, String id) {
        return operator(entry, LocalSystem.OPERATOR_TOKEN, "POST", "/confirm", "{\"id\":\"" + id + "\"}");
    }

    OperatorMessages.Status status(String entry) {
        try {
            return CanonicalJson.read(
                    operator(entry, LocalSystem.OPERATOR_TOKEN, "GET", "/status", "")
                            .body(),
                    OperatorMessages.Status.class);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    void awaitListed() {
        for (String entry : List.of("entry-1", "entry-2")) {
            Await.until("the list", () -> metric(system.operatorAddress(entry), "instances.listed") >= 8);
        }
    }

    Double metric(String base, String name) {
        HttpCall call = HttpCall.get(Fault.Step.READ, URI.create(base + "/metrics"));
        return http.call(call, TIMEOUT)
                .toOptional()
                .map(answer -> {
                    try {
                        Object value =
                                CanonicalJson.read(answer.body(), Map.class).get(name);
                        return value instanceof Number number ? number.doubleValue() : 0.0;
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                })
                .orElse(0.0);
    }

    /** Plans, confirms, and waits until every replica serves the version and both entries know it. */
    void rollOut(String version, String halls, int replicas) throws IOException {
        awaitListed();
        HttpClient.HttpResponse confirmed = confirm(
                "entry-2", plan("entry-1", intent(version, halls, replicas)).id());
        if (confirmed.status() != 200) {
            throw new AssertionError(new String(confirmed.body(), StandardCharsets.UTF_8));
        }
        awaitReady(version);
    }

    void awaitReady(String version) {
        for (String entry : List.of("entry-1", "entry-2")) {
            Await.until("ready replicas at " + entry, () -> {
                OperatorMessages.Status status = status(entry);
                return !status.replicas().isEmpty()
                        && status.replicas().stream()
                                .allMatch(replica -> replica.state().equals("ready"))
                        && status.replicas().stream()
                                .filter(replica -> replica.placement().equals("assistant"))
                                .allMatch(replica -> replica.version().equals(version));
            });
            Await.until(
                    "an entry that knows it",
                    () -> explain(entry).replicas().stream().allMatch(OperatorMessages.Candidate::eligible));
        }
    }

    OperatorMessages.ExplainResponse explain(String entry) {
        return explain(entry, "model=assistant");
    }

    private OperatorMessages.ExplainResponse explain(String entry, String workload) {
        try {
            return CanonicalJson.read(
                    operator(entry, LocalSystem.OPERATOR_TOKEN, "GET", "/explain?organisation=riders&" + workload, "")
                            .body(),
                    OperatorMessages.ExplainResponse.class);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    // -- callers

    HttpClient.HttpResponse call(String entry, String path, String token, String body, Map<String, String> headers) {
        Map<String, String> all = new HashMap<>(headers);
        all.put("Authorization", "Bearer " + token);
        HttpCall call = new HttpCall(
                Fault.Step.READ,
                "POST",
                URI.create(system.clientAddress(entry) + path),
                HeaderFields.of(all),
                body.getBytes(StandardCharsets.UTF_8));
        return http.call(call, TIMEOUT).toOptional().orElseThrow();
    }

    HttpClient.HttpResponse chat(String entry, String token, int tokens, boolean stream) {
        String body = "{\"model\":\"assistant\",\"max_tokens\":" + tokens + ",\"stream\":" + stream
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"the dock is jammed\"}]}";
        return call(entry, "/v1/chat/completions", token, body, Map.of());
    }

    HttpClient.HttpResponse charge(String entry, String key, String body) {
        return call(entry, "/services/billing/charges", RIDERS, body, Map.of("Idempotency-Key", key));
    }

    /** Asks again while the key counts as just sent. */
    HttpClient.HttpResponse chargeUntilSettled(String entry, String key, String body) {
        HttpClient.HttpResponse[] answer = new HttpClient.HttpResponse[1];
        Await.until("the key to be settled", () -> {
            answer[0] = charge(entry, key, body);
            return !text(answer[0]).contains("has just been sent");
        });
        return answer[0];
    }

    int runsOf(String body) {
        String digest = Digest.of(body);
        return system.service("billing-1").runsByDigest().getOrDefault(digest, 0)
                + system.service("billing-2").runsByDigest().getOrDefault(digest, 0);
    }

    static String text(HttpClient.HttpResponse answer) {
        return new String(answer.body(), StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        http.close();
        system.close();
    }
}
