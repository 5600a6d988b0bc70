package org.micabarrow.weights;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.micabarrow.state.Result;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The weight versions that an agent has or fetches, and which of them is fetched now. One thread fetches; any may ask what is
 * here.
 */
final class VersionFetches {

    private static final Logger LOG = LoggerFactory.getLogger(VersionFetches.class);

    /** How many versions are kept: the one that the endpoint holds, and two that were named soon after one another. */
    private static final int SETS_KEPT = 3;

    /** The pause after nothing could be had of any version, in milliseconds; the origin may be down for seconds. */
    private static final long AGAIN_MILLIS = 300;

    private final ChunkFetcher fetcher;
    private final VersionDeadlines deadlines;
    private final LongSupplier steadyMillis;
    private final OverlapChoice overlap;
    private final Deque<ChunkSet> sets = new ArrayDeque<>();

    /** What is being fetched, or was last. */
    private volatile Optional<FetchProgress> fetching = Optional.empty();

    VersionFetches(ChunkFetcher fetcher, VersionDeadlines deadlines, LongSupplier steadyMillis) {
        this.fetcher = fetcher;
        this.deadlines = deadlines;
        this.steadyMillis = steadyMillis;
        this.overlap = new OverlapChoice(this, deadlines, steadyMillis);
    }

    // -- what is here

    /** The chunks of a version, complete or not; empty if this agent has none. */
    Optional<ChunkSet> set(String model, long version) {
        synchronized (sets) {
            return sets.stream()
                    .filter(one -> one.model().equals(model) && one.version() == version)
                    .findFirst();
        }
    }

    private Optional<ChunkSet> begun(String model, long version) {
        Result<ChunkSet> set = setFor(model, version);
        set.cause()
                .ifPresent(fault ->
                        LOG.warn("event=digests_missed model={} version={} why=\"{}\"", model, version, fault));
        return set.toOptional();
    }

    /** The set of a version, begun if it was not; a failure if nobody tells the version's digests. */
    Result<ChunkSet> setFor(String model, long version) {
        Optional<ChunkSet> known = set(model, version);
        if (known.isPresent()) {
            return Result.success(known.get());
        }
        return fetcher.begin(model, version).map(this::kept);
    }

    /** Keeps a set, unless another thread has begun the same version meanwhile. */
    private ChunkSet kept(ChunkSet fresh) {
        synchronized (sets) {
            Optional<ChunkSet> known = set(fresh.model(), fresh.version());
            if (known.isPresent()) {
                return known.get();
            }
            sets.addFirst(fresh);
            while (sets.size() > SETS_KEPT) {
                sets.removeLast();
            }
        }
        return fresh;
    }

    /** The newest version that is being fetched, of which chunks are laid as they come, and that may be served. */
    Optional<ChunkSet> newestBegun(String model, long held, long least) {
        return newest(model, set -> set.version() > held && set.version() >= least);
    }

    /** The versions that are newer than one and here, complete or not, newest first. */
    List<ChunkSet> newerThan(String model, long version) {
        synchronized (sets) {
            return sets.stream()
                    .filter(set -> set.model().equals(model) && set.version() > version)
                    .sorted(Comparator.comparingLong(ChunkSet::version).reversed())
                    .toList();
        }
    }

    /** The newest version that is here whole, newer than the one held and not older than one that must be served. */
    Optional<ChunkSet> newestWhole(String model, long held, long least) {
        return newest(model, set -> set.version() > held && set.version() >= least && set.complete());
    }

    private Optional<ChunkSet> newest(String model, Predicate<ChunkSet> which) {
        synchronized (sets) {
            return sets.stream()
                    .filter(set -> set.model().equals(model))
                    .filter(which)
                    .max(Comparator.comparingLong(ChunkSet::version));
        }
    }

    // -- how long it takes

    /** How long some chunks of a version are expected to take; the greatest number if it is not the one being fetched. */
    long expectedMillis(ChunkSet set, int chunks) {
        return fetching.filter(progress -> progress.isOf(set))
                .map(progress -> progress.expectedMillis(chunks))
                .orElse(Long.MAX_VALUE);
    }

    /** How long a version is expected to take until it is here whole; the greatest number if it is not being fetched. */
    long missingMillis(String model, long version) {
        return set(model, version)
                .map(set -> expectedMillis(set, set.digests().size() - set.present()))
                .orElse(Long.MAX_VALUE);
    }

    // -- fetching

    /** Fetches what is missing of the version that is wanted instead of the one held. */
    void fetchFor(String model, long held) throws InterruptedException {
        if (held >= deadlines.newest(model)) {
            return;
        }
        boolean moves = fetchNewest(model, held) || fetchOlder(model, held);
        if (!moves) {
            Thread.sleep(AGAIN_MILLIS);
        }
    }

    /**
     * Fetches the newest version, until it is here or an older one is to be fetched first; tells whether chunks came and none is
     * to be.
     */
    private boolean fetchNewest(String model, long held) throws InterruptedException {
        long newest = deadlines.newest(model);
        Optional<ChunkSet> set = begun(model, newest);
        if (set.isEmpty() || set.get().complete()) {
            return set.isPresent();
        }
        boolean came = fetch(set.get(), newestWanted(model, held, newest));
        return came && !(deadlines.newest(model) == newest && overlap.choseOlder(model, held));
    }

    /** Whether to go on with a version that was the newest when its fetching began. */
    Predicate<FetchProgress> newestWanted(String model, long held, long newest) {
        return progress -> deadlines.newest(model) == newest
                ? !overlap.olderFirst(model, held, progress, false)
                : !progress.stalled() && worthFinishing(progress.set());
    }

    /** Whether so much of a version is here that finishing it beats leaving the endpoint with the one before. */
    private static boolean worthFinishing(ChunkSet set) {
        return set.present() * 2 >= set.digests().size();
    }

    /**
     * Fetches a version that was named before the newest, while the newest cannot be had: the origin may be away for seconds,
     * and other agents have the chunks of the version before. Without it, endpoints that are past half of neither answer nothing
     * until the origin is back.
     */
    private boolean fetchOlder(String model, long held) throws InterruptedException {
        OptionalLong older = overlap.olderNeeded(model, held);
        Optional<ChunkSet> set = older.isPresent() ? begun(model, older.getAsLong()) : Optional.empty();
        return set.isPresent() && fetch(set.get(), olderWanted(model, held, older.getAsLong()));
    }

    /** Whether to go on with a version that was named before the newest. */
    Predicate<FetchProgress> olderWanted(String model, long held, long version) {
        return progress -> overlap.olderNeeded(model, held).equals(OptionalLong.of(version))
                && !progress.stalled()
                && (overlap.olderFirst(model, held, progress, true) || overlap.comesFaster(model, progress));
    }

    private boolean fetch(ChunkSet set, Predicate<FetchProgress> wanted) throws InterruptedException {
        int before = set.present();
        FetchProgress progress = begins(set);
        fetcher.fetch(set, untilFirstNo(() -> wanted.test(progress)));
        overlap.ended(progress);
        return set.present() > before;
    }

    /** A version is fetched from now on. */
    FetchProgress begins(ChunkSet set) {
        FetchProgress progress = new FetchProgress(set, steadyMillis);
        overlap.changes(set, fetching);
        fetching = Optional.of(progress);
        return progress;
    }

    /** What chooses between versions that overlap. */
    OverlapChoice overlap() {
        return overlap;
    }

    /** Asks no more once it was told no: several threads ask, and a chunk that comes late would make them go on. */
    private static BooleanSupplier untilFirstNo(BooleanSupplier wanted) {
        AtomicBoolean told = new AtomicBoolean();
        return () -> {
            synchronized (told) {
                told.compareAndSet(false, !told.get() && !wanted.getAsBoolean());
                return !told.get();
            }
        };
    }
}
