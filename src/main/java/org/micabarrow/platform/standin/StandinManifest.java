package org.micabarrow.platform.standin;

import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Renders the manifest of the simulated platform. */
final class StandinManifest {

    private StandinManifest() {}

    /**
     * Renders a manifest with one route of each kind, a plain service, a service whose endpoints run a model, and an
     * origin.
     *
     * @param version its version
     * @param model the model
     * @param origin the host and port of the origin of weights
     * @param key the only API key
     * @param timeoutMillis the timeout of all routes
     * @param extraRoutes the number of additional routes, each to the plain service
     * @return the manifest in the form written by operators
     */
    static String render(long version, String model, String origin, String key, long timeoutMillis, int extraRoutes) {
        return String.format(
                Locale.ROOT,
                """
                {"version":%d,"routes":[%s,%s,%s%s],"services":[
                {"name":"plain","health_path":"/healthz","max_connections":100,"cold_per_s":5.0},
                {"name":"models","max_connections":100,"cold_per_s":5.0,"engine":{"slots":16,"stride":5,"read_per_s":19100.0,
                "step_ms":8.9,"per_seq_ms":0.04,"layers":16,"chunks":%d,"chunk_bytes":%d,
                "models":[{"name":"%s"}]}},
                {"name":"weights","origin":"%s"}],
                "limits":{"max_body_bytes":1000},"tenants":[{"name":"org-a","api_keys":["%s"]}]}""",
                version,
                route("/once/", "non_idempotent", "plain", timeoutMillis),
                route("/again/", "idempotent", "plain", timeoutMillis),
                route("/stream/", "streaming", "models", timeoutMillis),
                IntStream.range(0, extraRoutes)
                        .mapToObj(i -> "," + route("/more-" + i + "/", "idempotent", "plain", timeoutMillis))
                        .collect(Collectors.joining()),
                HostedOriginStandin.CHUNKS,
                HostedOriginStandin.CHUNK_BYTES,
                model,
                origin,
                key);
    }

    private static String route(String prefix, String kind, String service, long timeoutMillis) {
        return String.format(
                Locale.ROOT,
                """
                {"name":"r%s","host":"h.example","path_prefix":"%s","kind":"%s","timeout_ms":%d,
                "target_latency_ms":500,"priority":1,"service":"%s","max_attempts":2,"public":false,
                "resumable":%b}""",
                prefix.replace('/', '-'),
                prefix,
                kind,
                timeoutMillis,
                service,
                kind.equals("streaming"));
    }
}
