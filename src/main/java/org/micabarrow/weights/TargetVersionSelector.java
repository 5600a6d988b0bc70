package org.micabarrow.weights;

import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.micabarrow.weights.ReplicaController.RegionPosition;

/** Selects the version to which an endpoint is brought among those that have been fetched. */
final class TargetVersionSelector {

    /** The fraction of a region's endpoints that load every version, even if a newer one is expected soon. */
    private static final double EVERY_VERSION_FRACTION = 1.0 / 3;

    /**
     * How long an endpoint may be idle waiting for a newer version instead of loading the previous one, in
     * milliseconds: less than the switch that it saves takes.
     */
    private static final long MAX_IDLE_WAIT_MILLIS = 1_500;

    private final VersionFetches fetches;
    private final VersionDeadlines deadlines;
    private final Supplier<RegionPosition> regionPosition;
    private final LongSupplier monotonicMillis;

    TargetVersionSelector(
            VersionFetches fetches,
            VersionDeadlines deadlines,
            Supplier<RegionPosition> regionPosition,
            LongSupplier monotonicMillis) {
        this.fetches = fetches;
        this.deadlines = deadlines;
        this.regionPosition = regionPosition;
        this.monotonicMillis = monotonicMillis;
    }

    /** The version to which to bring the endpoint. Versions that it would soon have to give up again are skipped. */
    Optional<ChunkSet> select(String model, long held) {
        long minVersion = deadlines.minAllowedVersion(model, Cordon.LEAD_MILLIS);
        return fetches.newestComplete(model, held, minVersion)
                .filter(complete -> !shouldSkip(complete, held))
                .or(() -> fetches.newestStarted(model, held, minVersion));
    }

    /**
     * Whether the endpoint skips a complete version in favour of the newest, which is expected soon. Each switch takes
     * an endpoint out of service for some 2.6 s; with two versions named 4 s apart, more than half of fifteen endpoints
     * were out at the same time. Some endpoints load every version, so that there is always one that can serve.
     */
    private boolean shouldSkip(ChunkSet complete, long held) {
        long newest = deadlines.newest(complete.model());
        if (complete.version() == newest || held > 0 && loadsEveryVersion()) {
            return false;
        }
        long now = monotonicMillis.getAsLong();
        long servesUntil = held == 0 ? now : Math.max(now, deadlines.retireAt(complete.model(), complete.version()));
        return fetches.remainingMillis(complete.model(), newest) <= servesUntil - now + MAX_IDLE_WAIT_MILLIS;
    }

    private boolean loadsEveryVersion() {
        RegionPosition ownPosition = regionPosition.get();
        return ownPosition.index() < ownPosition.count() * EVERY_VERSION_FRACTION;
    }
}
