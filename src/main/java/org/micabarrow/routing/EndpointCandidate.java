package org.micabarrow.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * An endpoint and its load, which is looked up once for each decision. Decisions are made hundreds of times a second over all endpoints, so
 * that lists of these are gone through without streams.
 *
 * @param endpoint the endpoint
 * @param load what is known of its load
 */
record EndpointCandidate(EndpointRegistration endpoint, EndpointLoad load) {

    /** The weight version of a model that it holds, by its entry or by what it did since; 0 if none. */
    long version(ModelProfile model) {
        long entered =
                endpoint.layers() < model.layers() ? 0 : endpoint.models().getOrDefault(model.model(), 0L);
        return Math.max(entered, load.version());
    }

    /** Whether it has asked this process to send it nothing now. */
    boolean rests(long nowMillis) {
        return load.rest().lasts(nowMillis);
    }

    /** Whether this process's part of its limit allows a request. */
    boolean withinLimit(long nowMillis) {
        return load.limitAllows(nowMillis);
    }

    /** How long it takes until the limit of one of some allows a request; empty if all are left to other entries. */
    static OptionalLong firstWithinLimitMillis(List<EndpointCandidate> some, long nowMillis) {
        return some.stream()
                .map(one -> one.load().untilLimitAllowsMillis(nowMillis))
                .filter(OptionalLong::isPresent)
                .mapToLong(OptionalLong::getAsLong)
                .min();
    }

    /** Whether neither failures nor a slow link speak against it. */
    boolean well(long nowMillis) {
        return !load.failures().excluded(nowMillis) && !load.delayed(nowMillis);
    }

    /** Those of some for which a condition holds. */
    static List<EndpointCandidate> keep(List<EndpointCandidate> some, Predicate<EndpointCandidate> condition) {
        List<EndpointCandidate> kept = new ArrayList<>(some.size());
        for (EndpointCandidate one : some) {
            if (condition.test(one)) {
                kept.add(one);
            }
        }
        return kept;
    }

    /** How long it takes until the first of some may be sent to again; empty if one does not rest, or there are none. */
    static OptionalLong allRestMillis(List<EndpointCandidate> some, long nowMillis) {
        long least = Long.MAX_VALUE;
        for (EndpointCandidate one : some) {
            if (!one.rests(nowMillis)) {
                return OptionalLong.empty();
            }
            least = Math.min(least, one.load().rest().leftMillis(nowMillis));
        }
        return some.isEmpty() ? OptionalLong.empty() : OptionalLong.of(least);
    }
}
