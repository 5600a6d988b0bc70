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
 * The weight versions that an agent has or is fetching, and the choice of the one to fetch now. One thread fetches; any
 * thread may query.
 */
final class VersionFetches {

    private static final Logger LOG = LoggerFactory.getLogger(VersionFetches.class);

    /**
     * The maximum number of versions kept: the one that the endpoint holds, and two that were named in quick
     * succession.
     */
    private static final int SETS_KEPT = 3;

    /**
     * The pause after no chunk of any version could be fetched, in milliseconds; the origin may be unavailable for
     * seconds.
     */
    private static final long AGAIN_MILLIS = 300;

    private final ChunkFetcher fetcher;
    private final VersionDeadlines deadlines;
    private final LongSupplier steadyMillis;
    private final OverlapChoice overlap;
    private final Deque<ChunkSet> sets = new ArrayDeque<>();

    /** The progress of the current or last fetch. */
    private volatile Optional<FetchProgress> fetching = Optional.empty();

    VersionFetches(ChunkFetcher fetcher, VersionDeadlines deadlines, LongSupplier steadyMillis) {
        this.fetcher = fetcher;
        this.deadlines = deadlines;
        this.steadyMillis = steadyMillis;
        this.overlap = new OverlapChoice(this, deadlines, steadyMillis);
    }

    // -- available versions

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

    /** The set of a version, created if there is none; a failure if no source has the version's digests. */
    Result<ChunkSet> setFor(String model, long version) {
        Optional<ChunkSet> known = set(model, version);
        if (known.isPresent()) {
            return Result.success(known.get());
        }
        return fetcher.begin(model, version).map(this::kept);
    }

    /** Keeps a new set, unless another thread has already added the same version. */
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

    /** The newest version that has been started and may be served; its chunks are staged as they arrive. */
    Optional<ChunkSet> newestBegun(String model, long held, long least) {
        return newest(model, set -> set.version() > held && set.version() >= least);
    }

    /** The known versions newer than a given one, complete or not, newest first. */
    List<ChunkSet> newerThan(String model, long version) {
        synchronized (sets) {
            return sets.stream()
                    .filter(set -> set.model().equals(model) && set.version() > version)
                    .sorted(Comparator.comparingLong(ChunkSet::version).reversed())
                    .toList();
        }
    }

    /** The newest complete version that is newer than the held one and not older than {@code minVersion}. */
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

    // -- estimates

    /**
     * The expected time for some chunks of a version, in milliseconds; {@link Long#MAX_VALUE} if it is not being
     * fetched.
     */
    long expectedMillis(ChunkSet set, int chunks) {
        return fetching.filter(progress -> progress.isOf(set))
                .map(progress -> progress.expectedMillis(chunks))
                .orElse(Long.MAX_VALUE);
    }

    /**
     * The expected time until a version is complete, in milliseconds; {@link Long#MAX_VALUE} if it is not being
     * fetched.
     */
    long missingMillis(String model, long version) {
        return set(model, version)
                .map(set -> expectedMillis(set, set.digests().size() - set.present()))
                .orElse(Long.MAX_VALUE);
    }

    // -- fetching

    /** Fetches missing chunks of the version that should replace the held one. */
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
     * Fetches the newest version until it is complete or an older one is to be fetched first. Returns whether chunks
     * arrived and no older version is to be fetched.
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

    /** Whether to continue fetching a version that was the newest when its fetch started. */
    Predicate<FetchProgress> newestWanted(String model, long held, long newest) {
        return progress -> deadlines.newest(model) == newest
                ? !overlap.olderFirst(model, held, progress, false)
                : !progress.stalled() && worthFinishing(progress.set());
    }

    /**
     * Whether so many chunks of a version are present that completing it is better than leaving the endpoint on the
     * previous one.
     */
    private static boolean worthFinishing(ChunkSet set) {
        return set.present() * 2 >= set.digests().size();
    }

    /**
     * Fetches a version that was named before the newest while the newest is unavailable: the origin may be unavailable
     * for seconds, and other agents have the chunks of the previous version. Otherwise, endpoints that do not have half
     * of either version serve nothing until the origin is back.
     */
    private boolean fetchOlder(String model, long held) throws InterruptedException {
        OptionalLong older = overlap.olderNeeded(model, held);
        Optional<ChunkSet> set = older.isPresent() ? begun(model, older.getAsLong()) : Optional.empty();
        return set.isPresent() && fetch(set.get(), olderWanted(model, held, older.getAsLong()));
    }

    /** Whether to continue fetching a version that was named before the newest. */
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

    /** Starts to measure the fetch of a version. */
    FetchProgress begins(ChunkSet set) {
        FetchProgress progress = new FetchProgress(set, steadyMillis);
        overlap.changes(set, fetching);
        fetching = Optional.of(progress);
        return progress;
    }

    /** Decides between versions that overlap. */
    OverlapChoice overlap() {
        return overlap;
    }

    /**
     * Returns a condition that stays false once it was false: several threads evaluate it, and a chunk that arrives
     * late would otherwise make some of them continue.
     */
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
