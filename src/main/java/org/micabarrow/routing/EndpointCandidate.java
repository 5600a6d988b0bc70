package org.micabarrow.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * An endpoint and its load, which is looked up once per decision. Decisions are made hundreds of times a second over
 * all endpoints, so lists of candidates are iterated without streams.
 *
 * @param endpoint the endpoint
 * @param load its known load
 * @param cold the endpoints that are cold
 */
record EndpointCandidate(EndpointRegistration endpoint, EndpointLoad load, ColdEndpoints cold) {

    /**
     * Returns the weight version of a model that the endpoint holds, from its registration or from later reports and
     * responses; 0 if none.
     */
    long version(ModelProfile model) {
        long registered =
                endpoint.layers() < model.layers() ? 0 : endpoint.models().getOrDefault(model.model(), 0L);
        return Math.max(registered, load.version());
    }

    /** Passes the remaining cold time on to the prediction. */
    void noteColdStart(long nowMillis) {
        load.speed().coldFor(cold.leftMillis(endpoint.start(), nowMillis), nowMillis);
    }

    /** Returns whether the endpoint has asked this process for a backoff that is still active. */
    boolean inBackoff(long nowMillis) {
        return load.backoff().active(nowMillis);
    }

    /** Returns whether this process's quota shares of the endpoint's limits allow a request now. */
    boolean withinLimits(long nowMillis) {
        return load.rateLimitAllows(nowMillis)
                && load.coldLimit()
                        .allows(
                                cold.perSecond(endpoint, nowMillis),
                                load.contact().hasRecentReport(nowMillis),
                                nowMillis);
    }

    /** Returns whether the endpoint could be sent a request if it were warm. */
    boolean limitedOnlyByCold(long nowMillis) {
        return load.rateLimitAllows(nowMillis) && !withinLimits(nowMillis);
    }

    private OptionalLong untilLimitsAllowMillis(long nowMillis) {
        OptionalLong stated = load.untilRateLimitAllowsMillis(nowMillis);
        OptionalLong whileCold = load.coldLimit()
                .untilNextRequestMillis(
                        cold.perSecond(endpoint, nowMillis), load.contact().hasRecentReport(nowMillis), nowMillis);
        return stated.isPresent() && whileCold.isPresent()
                ? OptionalLong.of(Math.max(stated.getAsLong(), whileCold.getAsLong()))
                : OptionalLong.empty();
    }

    /**
     * Returns the shortest time until the limits of a candidate allow a request; empty if all are left to other
     * entries.
     */
    static OptionalLong untilLimitsAllowMillis(List<EndpointCandidate> candidates, long nowMillis) {
        return candidates.stream()
                .map(candidate -> candidate.untilLimitsAllowMillis(nowMillis))
                .filter(OptionalLong::isPresent)
                .mapToLong(OptionalLong::getAsLong)
                .min();
    }

    /** Returns whether the endpoint is neither ejected nor mute nor behind a slow link. */
    boolean healthy(long objectiveMillis, long nowMillis) {
        return !load.failures().ejected(nowMillis)
                && !load.contact().linkSlow(nowMillis)
                && !load.silence().mute(objectiveMillis, nowMillis);
    }

    /**
     * Returns the median of the factors by which the candidates' engines are slow. Reports that call most of them slow
     * do not tell which are fast.
     */
    static double usualEngineFactor(List<EndpointCandidate> candidates, long nowMillis) {
        double[] factors = new double[candidates.size()];
        for (int i = 0; i < factors.length; i++) {
            factors[i] = candidates.get(i).load().speed().engineFactor(nowMillis);
        }
        Arrays.sort(factors);
        return factors.length == 0 ? 1 : factors[(factors.length - 1) / 2];
    }

    /** Returns the candidates that match a condition. */
    static List<EndpointCandidate> filter(List<EndpointCandidate> candidates, Predicate<EndpointCandidate> condition) {
        List<EndpointCandidate> matching = new ArrayList<>(candidates.size());
        for (EndpointCandidate candidate : candidates) {
            if (condition.test(candidate)) {
                matching.add(candidate);
            }
        }
        return matching;
    }

    /**
     * Returns the time until the first candidate ends its backoff; empty if a candidate is not in backoff or there are
     * none.
     */
    static OptionalLong untilBackoffEndsMillis(List<EndpointCandidate> candidates, long nowMillis) {
        long shortestMillis = Long.MAX_VALUE;
        for (EndpointCandidate candidate : candidates) {
            if (!candidate.inBackoff(nowMillis)) {
                return OptionalLong.empty();
            }
            shortestMillis = Math.min(shortestMillis, candidate.load().backoff().remainingMillis(nowMillis));
        }
        return candidates.isEmpty() ? OptionalLong.empty() : OptionalLong.of(shortestMillis);
    }
}
