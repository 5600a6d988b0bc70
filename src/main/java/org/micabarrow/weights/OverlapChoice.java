package org.micabarrow.weights;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.micabarrow.weights.FetchChoice.Candidate;
import org.micabarrow.weights.FetchChoice.Situation;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Gathers what {@link FetchChoice} goes by: what is here of two versions that overlap, how fast it comes, and until when each may be
 * served. Safe for any number of threads.
 */
final class OverlapChoice {

    private static final Logger LOG = LoggerFactory.getLogger(OverlapChoice.class);

    /** How long a chunk takes before any has come, in milliseconds: a version of 64 takes some 3.2 s on an agent's link. */
    private static final double FIRST_CHUNK_MILLIS = 50;

    /**
     * For how long a version that does not come is expected to stay away, in milliseconds, if it has for less: an origin that goes
     * away does for seconds.
     */
    private static final long AWAY_MILLIS = 3_000;

    /**
     * How many times as long as usual a chunk takes when the link is mostly idle: chunks are then waited for that other agents do
     * not have yet.
     */
    private static final double IDLE_LINK_TIMES = 4;

    /** The most that a chunk usually takes, in milliseconds: a link that is slower than that is squeezed for a while only. */
    private static final double MOST_CHUNK_MILLIS = 500;

    /**
     * How many times as long as at their best the chunks of a whole copy take: 4.7 to 5.5 s were seen where a link needs 3.3 to 3.7 s
     * (docs/FINDINGS.md).
     */
    private static final double COPY_TIMES = 1.5;

    /** How many times as fast as the newest an older version must come to be worth staying with however slow it is. */
    private static final double FASTER_TIMES = 2;

    /** How many chunks of a version must have come for their pace to count as usual. */
    private static final int TELLING_CHUNKS = 4;

    private final VersionFetches fetches;
    private final VersionDeadlines deadlines;
    private final LongSupplier steadyMillis;

    /** How long a chunk takes, in milliseconds, when they come as they last came at their best. */
    private volatile double usualChunkMillis = FIRST_CHUNK_MILLIS;

    /** The version that was last left though it was not here. */
    private volatile Left left = new Left(0, Long.MIN_VALUE / 2, 0);

    /**
     * A version that was left.
     *
     * @param version its number
     * @param atMillis when it was left
     * @param chunkMillis how long its chunks took lately; infinite if none came
     */
    private record Left(long version, long atMillis, double chunkMillis) {}

    private volatile Optional<FetchChoice> last = Optional.empty();

    OverlapChoice(VersionFetches fetches, VersionDeadlines deadlines, LongSupplier steadyMillis) {
        this.fetches = fetches;
        this.deadlines = deadlines;
        this.steadyMillis = steadyMillis;
    }

    // -- questions

    /** The oldest version that is newer than the one held, older than the newest, good to answer and not here; empty if none is. */
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

    /** Whether a version was begun for the idle link and came slowly too, so that it is the link which is slow. */
    private boolean cameSlowlyLately(long older, FetchProgress progress) {
        Left before = left;
        return progress.set().version() != older
                && before.version() == older
                && !Double.isInfinite(before.chunkMillis())
                && slow(before.chunkMillis())
                && steadyMillis.getAsLong() - before.atMillis() < AWAY_MILLIS;
    }

    /**
     * Whether an older version that is being fetched comes so much faster than the newest did that nothing is won by leaving it, be
     * it as slow as it may, while it may serve.
     */
    boolean comesFaster(String model, FetchProgress older) {
        Left before = left;
        long newest = deadlines.newest(model);
        // Of a version whose digests nobody tells nothing comes.
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

    /** Whether the last choice was for a version that was named before the newest, and still is not here. */
    boolean choseOlder(String model, long held) {
        OptionalLong older = olderNeeded(model, held);
        return last.filter(OverlapChoice::isOlder)
                .filter(choice -> older.isPresent() && choice.version() == older.getAsLong())
                .isPresent();
    }

    // -- what the choice goes by

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
        // Versions of a model are alike in size.
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

    // -- what happens

    /** Another version than the one before is fetched from now on. */
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

    /** A fetch has ended; how fast chunks came at their best tells how fast those of another version may. */
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
