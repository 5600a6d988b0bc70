package org.micabarrow.weights;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.micabarrow.weights.FetchDecision.Candidate;
import org.micabarrow.weights.FetchDecision.Situation;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides between two versions that overlap. Collects the input of {@link FetchDecision}: which chunks of each version
 * are present, how fast they arrive, and until when each version may be served. Thread-safe.
 */
final class OverlapPolicy {

    private static final Logger LOG = LoggerFactory.getLogger(OverlapPolicy.class);

    /**
     * The assumed time per chunk before any has arrived, in milliseconds: a version of 64 chunks takes some 3.2 s on an
     * agent's link.
     */
    private static final double INITIAL_CHUNK_MILLIS = 50;

    /**
     * The minimum expected duration of an outage, in milliseconds: when no chunk of a version arrives, the origin is
     * usually unavailable for seconds.
     */
    private static final long MIN_OUTAGE_MILLIS = 3_000;

    /**
     * How many times the typical time per chunk indicates a mostly idle link: the fetch is then waiting for chunks that
     * other agents do not have yet.
     */
    private static final double IDLE_LINK_FACTOR = 4;

    /** The maximum of the typical time per chunk, in milliseconds: a slower link is congested only temporarily. */
    private static final double MAX_CHUNK_MILLIS = 500;

    /**
     * The ratio of the average to the shortest time per chunk over a complete copy: 4.7 to 5.5 s were measured where a
     * link needs 3.3 to 3.7 s (docs/FINDINGS.md).
     */
    private static final double COMPLETE_COPY_FACTOR = 1.5;

    /** How many times as fast as the newest version an older one must arrive to be continued however slow it is. */
    private static final double MUCH_FASTER_FACTOR = 2;

    /** The number of chunks that must have arrived for their rate to count as typical. */
    private static final int MIN_TYPICAL_CHUNKS = 4;

    private final VersionFetches fetches;
    private final VersionDeadlines deadlines;
    private final LongSupplier monotonicMillis;

    /** The typical time per chunk in milliseconds: the shortest in the last fetch with enough chunks. */
    private volatile double typicalChunkMillis = INITIAL_CHUNK_MILLIS;

    /** The incomplete version whose fetch was last abandoned. */
    private volatile AbandonedFetch lastAbandoned = new AbandonedFetch(0, Long.MIN_VALUE / 2, 0);

    /**
     * A version whose fetch was abandoned.
     *
     * @param version its number
     * @param atMillis when it was abandoned
     * @param chunkMillis the recent time per chunk at that moment; infinite if none arrived
     */
    private record AbandonedFetch(long version, long atMillis, double chunkMillis) {}

    private volatile Optional<FetchDecision> lastDecision = Optional.empty();

    OverlapPolicy(VersionFetches fetches, VersionDeadlines deadlines, LongSupplier monotonicMillis) {
        this.fetches = fetches;
        this.deadlines = deadlines;
        this.monotonicMillis = monotonicMillis;
    }

    // -- decisions

    /**
     * The oldest version that is newer than the held one, older than the newest, may still be served, and is not
     * complete; empty if there is none.
     */
    OptionalLong olderToFetch(String model, long held) {
        OptionalLong older = deadlines.oldestUsableBeforeNewest(model, held);
        boolean complete = older.isPresent()
                && fetches.chunkSet(model, older.getAsLong())
                        .filter(ChunkSet::isComplete)
                        .isPresent();
        return complete ? OptionalLong.empty() : older;
    }

    /** Whether a version that was named before the newest is to be fetched first. */
    boolean shouldFetchOlderFirst(String model, long held, FetchProgress progress, boolean newestStalled) {
        OptionalLong older = olderToFetch(model, held);
        if (older.isEmpty() || wasRecentlySlow(older.getAsLong(), progress)) {
            lastDecision = Optional.empty();
            return false;
        }
        FetchDecision decision = FetchDecision.of(situation(model, held, older.getAsLong(), progress, newestStalled));
        lastDecision = Optional.of(decision);
        return isOlder(decision);
    }

    /**
     * Whether the older version was recently fetched to use an idle link and was slow as well, so that the link itself
     * is slow.
     */
    private boolean wasRecentlySlow(long older, FetchProgress progress) {
        AbandonedFetch abandoned = lastAbandoned;
        return progress.set().version() != older
                && abandoned.version() == older
                && !Double.isInfinite(abandoned.chunkMillis())
                && isSlow(abandoned.chunkMillis())
                && monotonicMillis.getAsLong() - abandoned.atMillis() < MIN_OUTAGE_MILLIS;
    }

    /**
     * Whether the older version being fetched arrives so much faster than the newest did that nothing is gained by
     * abandoning it while it may be served, however slow it is.
     */
    boolean isMuchFaster(String model, FetchProgress older) {
        AbandonedFetch abandoned = lastAbandoned;
        long newest = deadlines.newest(model);
        // Without digests no chunk of the newest version can arrive.
        boolean faster = fetches.chunkSet(model, newest).isEmpty()
                || abandoned.version() == newest && older.chunkMillis() * MUCH_FASTER_FACTOR < abandoned.chunkMillis();
        return faster
                && monotonicMillis.getAsLong()
                        < deadlines.servesUntil(model, older.set().version());
    }

    /** Whether no chunk of the newest version arrived when it was last fetched, or its digests are missing. */
    boolean isNewestAway(String model) {
        AbandonedFetch abandoned = lastAbandoned;
        long newest = deadlines.newest(model);
        return fetches.chunkSet(model, newest).isEmpty()
                || abandoned.version() == newest && Double.isInfinite(abandoned.chunkMillis());
    }

    private static boolean isOlder(FetchDecision decision) {
        return switch (decision) {
            case FetchDecision.OlderFirst older -> true;
            case FetchDecision.Newest newest -> false;
        };
    }

    /** Whether the last decision was for a version that was named before the newest and is still not complete. */
    boolean prefersOlder(String model, long held) {
        OptionalLong older = olderToFetch(model, held);
        return lastDecision
                .filter(OverlapPolicy::isOlder)
                .filter(decision -> older.isPresent() && decision.version() == older.getAsLong())
                .isPresent();
    }

    // -- input of the decision

    private Situation situation(String model, long held, long older, FetchProgress progress, boolean newestStalled) {
        long now = monotonicMillis.getAsLong();
        long newest = deadlines.newest(model);
        return new Situation(
                now,
                held == 0 ? now : deadlines.servesUntil(model, held),
                candidate(model, older, progress, false),
                deadlines.servesUntil(model, older),
                candidate(model, newest, progress, newestStalled),
                progress.set().version());
    }

    private Candidate candidate(String model, long version, FetchProgress progress, boolean stalled) {
        Optional<ChunkSet> set = fetches.chunkSet(model, version);
        // All versions of a model have a similar size.
        int chunks = set.orElse(progress.set()).digests().size();
        int missing = chunks - set.map(ChunkSet::presentCount).orElse(0);
        boolean measured = progress.set().version() == version && progress.isMeasurable();
        double copyMillis = COMPLETE_COPY_FACTOR * typicalChunkMillis;
        double chunkMillis = measured ? progress.chunkMillis() : copyMillis;
        if (stalled || Double.isInfinite(chunkMillis)) {
            long outageMillis = Math.max(MIN_OUTAGE_MILLIS, measured ? progress.idleMillis() : 0);
            return new Candidate(version, chunks, missing, outageMillis, copyMillis);
        }
        if (!isSlow(chunkMillis)) {
            return new Candidate(version, chunks, missing, 0, chunkMillis);
        }
        long delayMillis = Math.round(missing * (chunkMillis - copyMillis));
        return new Candidate(version, chunks, missing, delayMillis, copyMillis);
    }

    private boolean isSlow(double chunkMillis) {
        return chunkMillis > IDLE_LINK_FACTOR * typicalChunkMillis;
    }

    // -- events

    /** Logs that the fetch switches to another version before the current one is complete. */
    void onSwitch(ChunkSet to, Optional<FetchProgress> from) {
        from.filter(progress -> !progress.isFor(to) && !progress.set().isComplete())
                .ifPresent(progress -> LOG.info(
                        "event=fetch_turned model={} from={} here={} of={} towards={} silentMs={} lostMs={} otherLostMs={}",
                        to.model(),
                        progress.set().version(),
                        progress.set().presentCount(),
                        progress.set().digests().size(),
                        to.version(),
                        progress.idleMillis(),
                        lastDecision.map(FetchDecision::lostMillis).orElse(0L),
                        lastDecision.map(FetchDecision::otherLostMillis).orElse(0L)));
    }

    /** Records the rate of a fetch that has ended. Its best rate is used to estimate that of other versions. */
    void onFetchEnded(FetchProgress progress) {
        if (!progress.set().isComplete() && progress.isMeasurable()) {
            lastAbandoned =
                    new AbandonedFetch(progress.set().version(), monotonicMillis.getAsLong(), progress.chunkMillis());
        }
        double best = progress.bestChunkMillis();
        if (progress.fetchedCount() >= MIN_TYPICAL_CHUNKS && !Double.isInfinite(best)) {
            typicalChunkMillis = Math.min(MAX_CHUNK_MILLIS, best);
        }
    }
}
