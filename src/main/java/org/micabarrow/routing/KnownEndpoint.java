package org.micabarrow.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * An endpoint and its load, which is looked up once per decision. Decisions are made hundreds of times a second over
 * all endpoints, so lists of candidates are iterated without streams.
 *
 * @param endpoint the endpoint
 * @param load its known load
 */
record KnownEndpoint(EndpointEntry endpoint, EndpointLoad load) {

    /**
     * Returns the weight version of a model that the endpoint holds, from its registration or from later reports and
     * responses; 0 if none.
     */
    long version(ModelService model) {
        long entered =
                endpoint.layers() < model.layers() ? 0 : endpoint.models().getOrDefault(model.model(), 0L);
        return Math.max(entered, load.version());
    }

    /** Returns whether the endpoint has asked this process for a backoff that is still active. */
    boolean rests(long nowMillis) {
        return load.rest().lasts(nowMillis);
    }

    /** Returns whether this process's quota share of the endpoint's rate limit allows a request now. */
    boolean withinLimit(long nowMillis) {
        return load.limitAllows(nowMillis);
    }

    /**
     * Returns the shortest time until the rate limit of a candidate allows a request; empty if all limits are left to
     * other entries.
     */
    static OptionalLong firstWithinLimitMillis(List<KnownEndpoint> some, long nowMillis) {
        return some.stream()
                .map(one -> one.load().untilLimitAllowsMillis(nowMillis))
                .filter(OptionalLong::isPresent)
                .mapToLong(OptionalLong::getAsLong)
                .min();
    }

    /** Returns whether the endpoint is neither ejected nor behind a slow link. */
    boolean well(long nowMillis) {
        return !load.failures().excluded(nowMillis) && !load.delayed(nowMillis);
    }

    /** Returns the candidates that match a condition. */
    static List<KnownEndpoint> keep(List<KnownEndpoint> some, Predicate<KnownEndpoint> condition) {
        List<KnownEndpoint> kept = new ArrayList<>(some.size());
        for (KnownEndpoint one : some) {
            if (condition.test(one)) {
                kept.add(one);
            }
        }
        return kept;
    }

    /**
     * Returns the time until the first candidate ends its backoff; empty if a candidate is not in backoff or there are
     * none.
     */
    static OptionalLong allRestMillis(List<KnownEndpoint> some, long nowMillis) {
        long least = Long.MAX_VALUE;
        for (KnownEndpoint one : some) {
            if (!one.rests(nowMillis)) {
                return OptionalLong.empty();
            }
            least = Math.min(least, one.load().rest().leftMillis(nowMillis));
        }
        return some.isEmpty() ? OptionalLong.empty() : OptionalLong.of(least);
    }
}
