package org.micabarrow.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.crashes.RequestDigest;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.routing.AllowedRegions;
import org.micabarrow.routing.RequestKind;
import org.micabarrow.routing.RequestSize;
import org.micabarrow.routing.Route;

/**
 * Measures the cost of request digests by body size, and the share of a core they take at a given request rate. While
 * a crash is known, an entry computes the quick digest of every request and the full digest only of requests that may
 * have been involved in the crash.
 */
public final class DigestBench {

    private static final List<Integer> BODY_BYTES = List.of(0, 1 << 10, 16 << 10, 256 << 10, 4 << 20);
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MICRO = 1e3;

    @Parameter(names = "--seconds", description = "How long each row lasts")
    private double durationSeconds = 2;

    @Parameter(names = "--rate", description = "Requests a second of which the share of a core is told")
    private double requestsPerSecond = 100;

    /**
     * Runs the benchmark.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        DigestBench bench = new DigestBench();
        JCommander.newBuilder().addObject(bench).build().parse(arguments);
        bench.run();
    }

    private void run() {
        System.out.printf(
                Locale.ROOT,
                "%8s %12s %12s %22s%n",
                "part",
                "body bytes",
                "micros each",
                "core at " + requestsPerSecond + "/s");
        measure("quick", RequestDigest::quickOf);
        measure("whole", request -> RequestDigest.of(request).hashCode());
    }

    private void measure(String part, ToIntFunction<ClientRequest> digest) {
        BODY_BYTES.forEach(bytes -> nanosPerDigest(request(bytes), digest));
        for (int bytes : BODY_BYTES) {
            double nanos = nanosPerDigest(request(bytes), digest);
            double share = nanos * requestsPerSecond / NANOS_PER_SECOND;
            System.out.printf(Locale.ROOT, "%8s %12d %12.2f %22.5f%n", part, bytes, nanos / NANOS_PER_MICRO, share);
            System.out.printf(
                    Locale.ROOT,
                    "{\"part\":\"%s\",\"bodyBytes\":%d,\"microsEach\":%.3f,\"perSecond\":%.1f,\"coreShare\":%.6f}%n",
                    part,
                    bytes,
                    nanos / NANOS_PER_MICRO,
                    requestsPerSecond,
                    share);
        }
    }

    private double nanosPerDigest(ClientRequest request, ToIntFunction<ClientRequest> digest) {
        long startNanos = System.nanoTime();
        long count = 0;
        int combined = 0;
        while (System.nanoTime() - startNanos < durationSeconds * NANOS_PER_SECOND) {
            combined |= digest.applyAsInt(request);
            count++;
        }
        if (combined == 0) {
            throw new IllegalStateException("every digest was zero");
        }
        return (double) (System.nanoTime() - startNanos) / count;
    }

    private static ClientRequest request(int bytes) {
        byte[] body = new byte[bytes];
        new Random(bytes).nextBytes(body);
        Route route = new Route(
                "route",
                "h.example",
                "/stream/",
                List.of(new Route.WeightedService("models", 1)),
                RequestKind.STREAM,
                6_000,
                500,
                1,
                2,
                false);
        return new ClientRequest(
                "attempt",
                "POST",
                "/stream/x",
                "h.example",
                HeaderFields.empty(),
                body,
                route,
                "models",
                Optional.of("org-a"),
                1,
                6_000,
                RequestSize.ofPrompt(100),
                Set.of(),
                AllowedRegions.any());
    }
}
