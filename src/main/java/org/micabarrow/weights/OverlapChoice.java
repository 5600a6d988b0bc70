package org.micabarrow.weights;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.micabarrow.weights.FetchChoice.Candidate;
import org.micabarrow.weights.FetchChoice.Situation;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides between two versions that overlap. Collects the input of {@link FetchDecision}: which chunks of each version
 * are present, how fast they arrive, and until when each version may be served. Thread-safe.
 */
final class OverlapChoice {

    private static final Logger LOG = LoggerFactory.getLogger(OverlapChoice.class);

    /**
     * The assumed time per chunk before any has arrived, in milliseconds: a version of 64 chunks takes some 3.2 s on an
     * agent's link.
     */
    private static final double FIRST_CHUNK_MILLIS = 50;

    /**
     * The minimum expected duration of an outage, in milliseconds: when no chunk of a version arrives, the origin is
     * usually unavailable for seconds.
     */
    private static final long AWAY_MILLIS = 3_000;

    /**
     * How many times the typical time per chunk indicates a mostly idle link: the fetch is then waiting for chunks that
     * other agents do not have yet.
     */
    private static final double IDLE_LINK_TIMES = 4;

    /** The maximum of the typical time per chunk, in milliseconds: a slower link is congested only temporarily. */
    private static final double MOST_CHUNK_MILLIS = 500;

    /**
     * The ratio of the average to the shortest time per chunk over a complete copy: 4.7 to 5.5 s were measured where a
     * link needs 3.3 to 3.7 s (docs/FINDINGS.md).
     */
    private static final double COPY_TIMES = 1.5;

    /** How many times as fast as the newest version an older one must arrive to be continued however slow it is. */
    private static final double FASTER_TIMES = 2;

    /** The number of chunks that must have arrived for their rate to count as typical. */
    private static final int TELLING_CHUNKS = 4;

    private final VersionFetches fetches;
    private final VersionDeadlines deadlines;
    private final LongSupplier steadyMillis;

    /** The typical time per chunk in milliseconds: the shortest in the last fetch with enough chunks. */
    private volatile double usualChunkMillis = FIRST_CHUNK_MILLIS;

    /** The incomplete version whose fetch was last abandoned. */
    private volatile Left left = new Left(0, Long.MIN_VALUE / 2, 0);

    /**
     * A version whose fetch was abandoned.
     *
     * @param version its number
     * @param atMillis when it was abandoned
     * @param chunkMillis the recent time per chunk at that moment; infinite if none arrived
     */
    private record Left(long version, long atMillis, double chunkMillis) {}

    private volatile Optional<FetchChoice> last = Optional.empty();

    OverlapChoice(VersionFetches fetches, VersionDeadlines deadlines, LongSupplier steadyMillis) {
        this.fetches = fetches;
        this.deadlines = deadlines;
        this.steadyMillis = steadyMillis;
    }

    // -- decisions

    /**
     * The oldest version that is newer than the held one, older than the newest, may still be served, and is not
     * complete; empty if there is none.
     */
    OptionalLong olderNeeded(String model, long held) {
        OptionalLong older = deadlines.olderThanNewest(model, held);
        boolean here = older.isPresent()
                && fetches.set(model, older.getAsLong())
                        .filter(ChunkSet::complete)
                        .isPresent();
        return here ? OptionalLong.empty() : older;
    }

    /** Whether a version that was named before the newest is to be fetched first. */
    boolean olderFirst(String model, long held, FetchProgress progress, boolean newestCameNot) {
        OptionalLong older = olderNeeded(model, held);
        if (older.isEmpty() || cameSlowlyLately(older.getAsLong(), progress)) {
            last = Optional.empty();
            return false;
        }
        FetchChoice choice = FetchChoice.of(situation(model, held, older.getAsLong(), progress, newestCameNot));
        last = Optional.of(choice);
        return isOlder(choice);
    }

    /**
     * Whether the older version was recently fetched to use an idle link and was slow as well, so that the link itself
     * is slow.
     */
    private boolean cameSlowlyLately(long older, FetchProgress progress) {
        Left before = left;
        return progress.set().version() != older
                && before.version() == older
                && !Double.isInfinite(before.chunkMillis())
                && slow(before.chunkMillis())
                && steadyMillis.getAsLong() - before.atMillis() < AWAY_MILLIS;
    }

    /**
     * Whether the older version being fetched arrives so much faster than the newest did that nothing is gained by
     * abandoning it while it may be served, however slow it is.
     */
    boolean comesFaster(String model, FetchProgress older) {
        Left before = left;
        long newest = deadlines.newest(model);
        // Without digests no chunk of the newest version can arrive.
        boolean faster = fetches.set(model, newest).isEmpty()
                || before.version() == newest && older.chunkMillis() * FASTER_TIMES < before.chunkMillis();
        return faster
                && steadyMillis.getAsLong()
                        < deadlines.servesUntil(model, older.set().version());
    }

    private static boolean isOlder(FetchChoice choice) {
        return switch (choice) {
            case FetchChoice.OlderFirst older -> true;
            case FetchChoice.Newest newest -> false;
        };
    }

    /** Whether the last decision was for a version that was named before the newest and is still not complete. */
    boolean choseOlder(String model, long held) {
        OptionalLong older = olderNeeded(model, held);
        return last.filter(OverlapChoice::isOlder)
                .filter(choice -> older.isPresent() && choice.version() == older.getAsLong())
                .isPresent();
    }

    // -- input of the decision

    private Situation situation(String model, long held, long older, FetchProgress progress, boolean newestCameNot) {
        long now = steadyMillis.getAsLong();
        long newest = deadlines.newest(model);
        return new Situation(
                now,
                held == 0 ? now : deadlines.servesUntil(model, held),
                candidate(model, older, progress, false),
                deadlines.servesUntil(model, older),
                candidate(model, newest, progress, newestCameNot),
                progress.set().version());
    }

    private Candidate candidate(String model, long version, FetchProgress progress, boolean cameNot) {
        Optional<ChunkSet> set = fetches.set(model, version);
        // All versions of a model have a similar size.
        int chunks = set.orElse(progress.set()).digests().size();
        int missing = chunks - set.map(ChunkSet::present).orElse(0);
        boolean told = progress.set().version() == version && progress.tells();
        double copyMillis = COPY_TIMES * usualChunkMillis;
        double chunkMillis = told ? progress.chunkMillis() : copyMillis;
        if (cameNot || Double.isInfinite(chunkMillis)) {
            long away = Math.max(AWAY_MILLIS, told ? progress.silentMillis() : 0);
            return new Candidate(version, chunks, missing, away, copyMillis);
        }
        if (!slow(chunkMillis)) {
            return new Candidate(version, chunks, missing, 0, chunkMillis);
        }
        long awaited = Math.round(missing * (chunkMillis - copyMillis));
        return new Candidate(version, chunks, missing, awaited, copyMillis);
    }

    private boolean slow(double chunkMillis) {
        return chunkMillis > IDLE_LINK_TIMES * usualChunkMillis;
    }

    // -- events

    /** Logs that the fetch switches to another version before the current one is complete. */
    void changes(ChunkSet to, Optional<FetchProgress> from) {
        from.filter(progress -> !progress.isOf(to) && !progress.set().complete())
                .ifPresent(progress -> LOG.info(
                        "event=fetch_turned model={} from={} here={} of={} towards={} silentMs={} lostMs={} otherLostMs={}",
                        to.model(),
                        progress.set().version(),
                        progress.set().present(),
                        progress.set().digests().size(),
                        to.version(),
                        progress.silentMillis(),
                        last.map(FetchChoice::lostMillis).orElse(0L),
                        last.map(FetchChoice::otherLostMillis).orElse(0L)));
    }

    /** Records the rate of a fetch that has ended. Its best rate is used to estimate that of other versions. */
    void ended(FetchProgress progress) {
        if (!progress.set().complete() && progress.tells()) {
            left = new Left(progress.set().version(), steadyMillis.getAsLong(), progress.chunkMillis());
        }
        double best = progress.bestChunkMillis();
        if (progress.came() >= TELLING_CHUNKS && !Double.isInfinite(best)) {
            usualChunkMillis = Math.min(MOST_CHUNK_MILLIS, best);
        }
    }
}
