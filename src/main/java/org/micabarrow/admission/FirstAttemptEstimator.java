package org.micabarrow.admission;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.micabarrow.routing.Route;

/**
 * Estimates when a client made its first attempt from the time that it will still wait. Clients of a route state
 * similar but not equal times, and a client that retries after a refusal states what remains of its time. A request is
 * therefore taken for a retry only if its time is shorter than usual by most of the delay that a refused client is told
 * to wait, and only while the retry of a client refused here may still arrive. Not thread-safe: confined
 * to one thread.
 */
public final class FirstAttemptEstimator {

    /** Number of a route's recent requests that are kept as samples. */
    private static final int SAMPLE_COUNT = 64;

    /**
     * The quantile of the sampled times that is taken as the time of a first attempt. Up to this fraction of the
     * requests may be retries, and up to the rest may claim longer times than others, without first attempts being
     * misjudged.
     */
    private static final double FIRST_ATTEMPT_QUANTILE = 0.75;

    /**
     * The part of the delay that a refused client is told to wait by which the time of a retry is at least shorter than
     * usual. It separates retries from first attempts while the times of clients differ by up to a sixth of the usual
     * one: the shortest first attempt then lacks 0.22 of the usual time, and a retry 0.25.
     */
    private static final double MIN_MISSING_FRACTION = 0.75;

    /** Time that a retrying client may need for its new connection, in milliseconds. */
    private static final long CONNECT_MILLIS = 1_000;

    private final Map<String, RouteSamples> samplesByRoute = new HashMap<>();

    /** The times that a route's clients stated recently, and the time until which retries are expected. */
    private static final class RouteSamples {

        /** Ring buffer of the last times stated. */
        private final long[] samples = new long[SAMPLE_COUNT];

        private long count;
        private long retriesUntilMillis = Long.MIN_VALUE;

        private void add(long statedMillis) {
            samples[(int) (count % SAMPLE_COUNT)] = statedMillis;
            count++;
        }

        private long usualMillis() {
            long[] sorted = Arrays.copyOf(samples, (int) Math.min(count, SAMPLE_COUNT));
            Arrays.sort(sorted);
            return sorted[(int) (FIRST_ATTEMPT_QUANTILE * (sorted.length - 1))];
        }
    }

    /**
     * Records that a client was refused and told when to retry. Its retry is expected for no longer than its route
     * holds a request, regardless of the time that it claims to wait or the delay that it was told.
     *
     * @param route the route
     * @param retryAfterMillis the delay that it was told, in milliseconds from now
     * @param nowMillis the time on the monotonic clock
     */
    public void refused(Route route, long retryAfterMillis, long nowMillis) {
        RouteSamples samples = samplesOf(route.name());
        long expectedMillis = Math.min(retryAfterMillis, route.timeoutMillis()) + CONNECT_MILLIS;
        samples.retriesUntilMillis = Math.max(samples.retriesUntilMillis, nowMillis + expectedMillis);
    }

    /**
     * Records a request, and estimates the time since its client's first attempt.
     *
     * @param route the route's name
     * @param statedMillis how long the client will still wait, in milliseconds
     * @param nowMillis the time on the monotonic clock
     * @return milliseconds since the first attempt; 0 for a first attempt
     */
    public long millisSinceFirstAttempt(String route, long statedMillis, long nowMillis) {
        RouteSamples samples = samplesOf(route);
        samples.add(statedMillis);
        if (nowMillis > samples.retriesUntilMillis) {
            return 0;
        }
        long usualMillis = samples.usualMillis();
        long missingMillis = usualMillis - statedMillis;
        double leastMissingMillis = AdmissionControl.retryAfterMillis(usualMillis) * MIN_MISSING_FRACTION;
        return missingMillis >= leastMissingMillis ? missingMillis : 0;
    }

    private RouteSamples samplesOf(String route) {
        return samplesByRoute.computeIfAbsent(route, name -> new RouteSamples());
    }
}
