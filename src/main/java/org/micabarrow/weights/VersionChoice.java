package org.micabarrow.weights;

import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.micabarrow.weights.ReplicaKeeper.Place;

/** Selects the version to which an endpoint is brought among those that have been fetched. */
final class VersionChoice {

    /** The fraction of a region's endpoints that load every version, even if a newer one is expected soon. */
    private static final double TAKING_EVERY_VERSION = 1.0 / 3;

    /**
     * How long an endpoint may be idle waiting for a newer version instead of loading the previous one, in
     * milliseconds: less than the switch that it saves takes.
     */
    private static final long WORTH_WAITING_MILLIS = 1_500;

    private final VersionFetches fetches;
    private final VersionDeadlines deadlines;
    private final Supplier<Place> place;
    private final LongSupplier steadyMillis;

    VersionChoice(
            VersionFetches fetches, VersionDeadlines deadlines, Supplier<Place> place, LongSupplier steadyMillis) {
        this.fetches = fetches;
        this.deadlines = deadlines;
        this.place = place;
        this.steadyMillis = steadyMillis;
    }

    /** The version to which to bring the endpoint. Versions that it would soon have to give up again are skipped. */
    Optional<ChunkSet> target(String model, long held) {
        long least = deadlines.leastAllowed(model, Cordon.MILLIS);
        return fetches.newestWhole(model, held, least)
                .filter(whole -> !skips(whole, held))
                .or(() -> fetches.newestBegun(model, held, least));
    }

    /**
     * Whether the endpoint skips a complete version in favour of the newest, which is expected soon. Each switch takes
     * an endpoint out of service for some 2.6 s; with two versions named 4 s apart, more than half of fifteen endpoints
     * were out at the same time. Some endpoints load every version, so that there is always one that may answer.
     */
    private boolean skips(ChunkSet whole, long held) {
        long newest = deadlines.newest(whole.model());
        if (whole.version() == newest || held > 0 && takesEveryVersion()) {
            return false;
        }
        long now = steadyMillis.getAsLong();
        long servesUntil = held == 0 ? now : Math.max(now, deadlines.retireAt(whole.model(), whole.version()));
        return fetches.missingMillis(whole.model(), newest) <= servesUntil - now + WORTH_WAITING_MILLIS;
    }

    private boolean takesEveryVersion() {
        Place own = place.get();
        return own.position() < own.count() * TAKING_EVERY_VERSION;
    }
}
