package org.micabarrow.bench;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.protocol.OperatorMessages;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;

/** Client of the operator API for benchmarks. */
final class OperatorCalls implements AutoCloseable {

    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final long POLL_MILLIS = 20;

    private final HttpClient http = HttpClient.start("operator", 1);
    private final String baseUrl;

    OperatorCalls(String base) {
        this.baseUrl = base;
    }

    OperatorMessages.PlanResponse plan(String intent) {
        return request("POST", "/plan", intent, OperatorMessages.PlanResponse.class);
    }

    OperatorMessages.ConfirmResponse confirm(String id) {
        return request("POST", "/confirm", "{\"id\":\"" + id + "\"}", OperatorMessages.ConfirmResponse.class);
    }

    OperatorMessages.Status status() {
        return request("GET", "/status", "", OperatorMessages.Status.class);
    }

    private <T> T request(String method, String path, String body, Class<T> type) {
        HttpCall call = new HttpCall(
                        Fault.Step.READ,
                        method,
                        URI.create(baseUrl + path),
                        HeaderFields.empty(),
                        body.getBytes(StandardCharsets.UTF_8))
                .withHeader("Authorization", "Bearer " + LocalSystem.OPERATOR_TOKEN);
        HttpClient.HttpResponse answer = http.call(call, TIMEOUT).toOptional().orElseThrow();
        if (answer.status() != 200) {
            throw new IllegalStateException(new String(answer.body(), StandardCharsets.UTF_8));
        }
        return read(answer.body(), type);
    }

    /** Fetches the metrics of a process; empty if it does not respond. */
    Map<?, ?> metrics(String process) {
        HttpCall call = HttpCall.get(Fault.Step.READ, URI.create(process + "/metrics"));
        return http.call(call, Duration.ofSeconds(5))
                .toOptional()
                .<Map<?, ?>>map(answer -> read(answer.body(), Map.class))
                .orElse(Map.of());
    }

    static double number(Map<?, ?> metrics, String name) {
        return metrics.get(name) instanceof Number number ? number.doubleValue() : 0.0;
    }

    void awaitListed(int instances) throws InterruptedException {
        while (number(metrics(baseUrl), "instances.listed") != instances) {
            Thread.sleep(POLL_MILLIS);
        }
    }

    /** Waits until the given number of replicas is configured and all are ready. */
    void awaitReady(int replicas) throws InterruptedException {
        while (true) {
            OperatorMessages.Status status = status();
            boolean ready = status.replicas().size() == replicas
                    && status.replicas().stream()
                            .allMatch(replica -> replica.state().equals("ready"));
            if (ready) {
                return;
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    private static <T> T read(byte[] body, Class<T> type) {
        try {
            return CanonicalJson.read(body, type);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        http.close();
    }
}
