package org.micabarrow.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Open-loop load generator with Poisson arrivals drawn from a seed. Requests are sent on schedule whether or not
 * earlier ones have completed, and latency is measured from the scheduled arrival time.
 */
final class OpenLoopLoad {

    static final int SHORT_TOKENS = 8;
    static final int LONG_TOKENS = 100;

    private static final double SHORT_REQUEST_SHARE = 0.8;
    private static final long MAX_LATENCY_MICROS = 120_000_000;

    private final Target target;
    private final Histogram shortLatencies = new ConcurrentHistogram(MAX_LATENCY_MICROS, 3);
    private final Histogram longLatencies = new ConcurrentHistogram(MAX_LATENCY_MICROS, 3);
    private final Map<ClientCalls.Outcome, Integer> outcomeCounts = new TreeMap<>();
    private final Map<String, int[]> byOrganisation = new TreeMap<>();
    private double elapsedSeconds;

    OpenLoopLoad(Target target) {
        this.target = target;
    }

    /** Sends one request and returns its response. */
    interface Target {

        ClientCalls.Response send(int number, int organisation, int tokens);
    }

    /** A request and its scheduled arrival, relative to the start of the run. */
    private record ScheduledRequest(long arrivalNanos, int organisation, boolean isShort) {}

    /** Draws an organisation: 0 and 1 are large and send 70% of the requests, the other eight are small. */
    private static int drawOrganisation(Random random) {
        double draw = random.nextDouble();
        if (draw < 0.7) {
            return draw < 0.35 ? 0 : 1;
        }
        return 2 + random.nextInt(8);
    }

    private static List<ScheduledRequest> schedule(double requestsPerSecond, double durationSeconds, long seed) {
        Random random = new Random(seed);
        List<ScheduledRequest> schedule = new ArrayList<>();
        double arrivalSeconds = 0;
        while (arrivalSeconds < durationSeconds) {
            arrivalSeconds += -Math.log(1 - random.nextDouble()) / requestsPerSecond;
            schedule.add(new ScheduledRequest(
                    (long) (arrivalSeconds * 1e9),
                    drawOrganisation(random),
                    random.nextDouble() < SHORT_REQUEST_SHARE));
        }
        return schedule;
    }

    OpenLoopLoad run(double requestsPerSecond, double durationSeconds, long seed) {
        List<ScheduledRequest> schedule = schedule(requestsPerSecond, durationSeconds, seed);
        List<CompletableFuture<Void>> pending = new ArrayList<>();
        long start = System.nanoTime();
        for (int i = 0; i < schedule.size(); i++) {
            ScheduledRequest request = schedule.get(i);
            int number = i;
            for (long remainingNanos = start + request.arrivalNanos() - System.nanoTime(); remainingNanos > 0; ) {
                LockSupport.parkNanos(remainingNanos);
                remainingNanos = start + request.arrivalNanos() - System.nanoTime();
            }
            CompletableFuture<Void> done = new CompletableFuture<>();
            Thread.startVirtualThread(() -> {
                sendAndRecord(number, request, start);
                done.complete(null);
            });
            pending.add(done);
        }
        pending.forEach(CompletableFuture::join);
        elapsedSeconds = (System.nanoTime() - start) / 1e9;
        return this;
    }

    private void sendAndRecord(int number, ScheduledRequest request, long start) {
        ClientCalls.Response response =
                target.send(number, request.organisation(), request.isShort() ? SHORT_TOKENS : LONG_TOKENS);
        long micros = (System.nanoTime() - start - request.arrivalNanos()) / 1000;
        if (response.outcome() == ClientCalls.Outcome.ANSWERED) {
            (request.isShort() ? shortLatencies : longLatencies).recordValue(Math.min(MAX_LATENCY_MICROS, micros));
        }
        synchronized (this) {
            outcomeCounts.merge(response.outcome(), 1, Integer::sum);
            int[] counts =
                    byOrganisation.computeIfAbsent(request.organisation() < 2 ? "large" : "small", key -> new int[2]);
            counts[0]++;
            counts[1] += response.outcome() == ClientCalls.Outcome.ANSWERED ? 1 : 0;
        }
    }

    double shortPercentileMillis(double percentile) {
        return shortLatencies.getValueAtPercentile(percentile) / 1000.0;
    }

    double longPercentileMillis(double percentile) {
        return longLatencies.getValueAtPercentile(percentile) / 1000.0;
    }

    int outcomeCount(ClientCalls.Outcome ending) {
        return outcomeCounts.getOrDefault(ending, 0);
    }

    int requestCount() {
        return outcomeCounts.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns the tokens of answered requests per second. */
    double goodputTokensPerSecond() {
        return (shortLatencies.getTotalCount() * SHORT_TOKENS + longLatencies.getTotalCount() * LONG_TOKENS)
                / elapsedSeconds;
    }

    double answeredShare(String sizeClass) {
        int[] counts = byOrganisation.getOrDefault(sizeClass, new int[] {1, 1});
        return (double) counts[1] / counts[0];
    }
}
