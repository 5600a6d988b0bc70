package org.micabarrow.weights;

import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.micabarrow.weights.ReplicaController.Place;

/** Which of the weight versions that are here an endpoint is brought to. */
final class VersionChoice {

    /** The part of a region's endpoints that take every version, also when a newer one is expected soon. */
    private static final double TAKING_EVERY_VERSION = 1.0 / 3;

    /**
     * How long an endpoint may stand idle for a newer version instead of taking up the one before, in milliseconds: less than the
     * change that it saves takes.
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

    /** The version to bring the endpoint to, none of those that it would soon have to give up again. */
    Optional<ChunkSet> target(String model, long held) {
        long least = deadlines.leastAllowed(model, Cordon.MILLIS);
        return fetches.newestWhole(model, held, least)
                .filter(whole -> !skips(whole, held))
                .or(() -> fetches.newestBegun(model, held, least));
    }

    /**
     * Whether the endpoint goes past a whole version to the newest, which is expected soon. Each change of versions takes an
     * endpoint out for some 2.6 s; with two versions named 4 s apart, more than half of fifteen endpoints were out at a time.
     * Some take every version, so that there is always one that may answer.
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
