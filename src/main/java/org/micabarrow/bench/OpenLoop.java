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
 * Sends requests at times drawn beforehand from a seed, whether or not earlier ones have ended, and measures each from
 * the time at which it was due.
 */
final class OpenLoop {

    static final int SHORT_TOKENS = 8;
    static final int LONG_TOKENS = 100;

    private static final double SHORT_PART = 0.8;
    private static final long MAX_MICROS = 120_000_000;

    private final Target target;
    private final Histogram shortMicros = new ConcurrentHistogram(MAX_MICROS, 3);
    private final Histogram longMicros = new ConcurrentHistogram(MAX_MICROS, 3);
    private final Map<Caller.Ending, Integer> endings = new TreeMap<>();
    private final Map<String, int[]> byOrganisation = new TreeMap<>();
    private double seconds;

    OpenLoop(Target target) {
        this.target = target;
    }

    /** Takes one request and tells how it ended. */
    interface Target {

        Caller.Seen send(int number, int organisation, int tokens);
    }

    /** One request to come. */
    private record Due(long nanos, int organisation, boolean isShort) {}

    /** Organisation 0 and 1 are large; the eight others are small. */
    private static int organisation(Random random) {
        double draw = random.nextDouble();
        if (draw < 0.7) {
            return draw < 0.35 ? 0 : 1;
        }
        return 2 + random.nextInt(8);
    }

    private static List<Due> schedule(double perSecond, double lasting, long seed) {
        Random random = new Random(seed);
        List<Due> schedule = new ArrayList<>();
        double at = 0;
        while (at < lasting) {
            at += -Math.log(1 - random.nextDouble()) / perSecond;
            schedule.add(new Due((long) (at * 1e9), organisation(random), random.nextDouble() < SHORT_PART));
        }
        return schedule;
    }

    OpenLoop run(double perSecond, double lasting, long seed) {
        List<Due> schedule = schedule(perSecond, lasting, seed);
        List<CompletableFuture<Void>> open = new ArrayList<>();
        long start = System.nanoTime();
        for (int i = 0; i < schedule.size(); i++) {
            Due due = schedule.get(i);
            int number = i;
            for (long left = start + due.nanos() - System.nanoTime(); left > 0; ) {
                LockSupport.parkNanos(left);
                left = start + due.nanos() - System.nanoTime();
            }
            CompletableFuture<Void> done = new CompletableFuture<>();
            Thread.startVirtualThread(() -> {
                one(number, due, start);
                done.complete(null);
            });
            open.add(done);
        }
        open.forEach(CompletableFuture::join);
        seconds = (System.nanoTime() - start) / 1e9;
        return this;
    }

    private void one(int number, Due due, long start) {
        Caller.Seen seen = target.send(number, due.organisation(), due.isShort() ? SHORT_TOKENS : LONG_TOKENS);
        long micros = (System.nanoTime() - start - due.nanos()) / 1000;
        if (seen.ending() == Caller.Ending.ANSWERED) {
            (due.isShort() ? shortMicros : longMicros).recordValue(Math.min(MAX_MICROS, micros));
        }
        synchronized (this) {
            endings.merge(seen.ending(), 1, Integer::sum);
            int[] counts =
                    byOrganisation.computeIfAbsent(due.organisation() < 2 ? "large" : "small", key -> new int[2]);
            counts[0]++;
            counts[1] += seen.ending() == Caller.Ending.ANSWERED ? 1 : 0;
        }
    }

    double shortMillis(double percentile) {
        return shortMicros.getValueAtPercentile(percentile) / 1000.0;
    }

    double longMillis(double percentile) {
        return longMicros.getValueAtPercentile(percentile) / 1000.0;
    }

    int count(Caller.Ending ending) {
        return endings.getOrDefault(ending, 0);
    }

    int sent() {
        return endings.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Answered tokens a second: what the engines' work was good for. */
    double goodput() {
        return (shortMicros.getTotalCount() * SHORT_TOKENS + longMicros.getTotalCount() * LONG_TOKENS) / seconds;
    }

    double answeredShare(String organisations) {
        int[] counts = byOrganisation.getOrDefault(organisations, new int[] {1, 1});
        return (double) counts[1] / counts[0];
    }
}
