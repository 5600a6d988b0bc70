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
    private static final int MAX_SETS = 3;

    /**
     * The pause after no chunk of any version could be fetched, in milliseconds; the origin may be unavailable for
     * seconds.
     */
    private static final long RETRY_MILLIS = 300;

    /**
     * Every how many probes the digests of an unavailable version are requested from the origin by agents that get them
     * from another one: a second and a half.
     */
    private static final int DIRECT_PROBE_INTERVAL = 8;

    private final ChunkFetcher fetcher;
    private final VersionDeadlines deadlines;
    private final LongSupplier monotonicMillis;
    private final OverlapPolicy overlapPolicy;
    private final Deque<ChunkSet> sets = new ArrayDeque<>();

    /** The progress of the current or last fetch. */
    private volatile Optional<FetchProgress> currentFetch = Optional.empty();

    VersionFetches(ChunkFetcher fetcher, VersionDeadlines deadlines, LongSupplier monotonicMillis) {
        this.fetcher = fetcher;
        this.deadlines = deadlines;
        this.monotonicMillis = monotonicMillis;
        this.overlapPolicy = new OverlapPolicy(this, deadlines, monotonicMillis);
    }

    // -- available versions

    /** The chunks of a version, complete or not; empty if this agent has none. */
    Optional<ChunkSet> chunkSet(String model, long version) {
        synchronized (sets) {
            return sets.stream()
                    .filter(set -> set.model().equals(model) && set.version() == version)
                    .findFirst();
        }
    }

    private Optional<ChunkSet> findOrCreateLogged(String model, long version) {
        Result<ChunkSet> set = findOrCreate(model, version);
        set.cause()
                .ifPresent(fault ->
                        LOG.warn("event=digests_missed model={} version={} why=\"{}\"", model, version, fault));
        return set.toOptional();
    }

    /** The set of a version, created if there is none; a failure if no source has the version's digests. */
    Result<ChunkSet> findOrCreate(String model, long version) {
        Optional<ChunkSet> existing = chunkSet(model, version);
        if (existing.isPresent()) {
            return Result.success(existing.get());
        }
        return fetcher.createSet(model, version).map(this::putIfAbsent);
    }

    /** Keeps a new set, unless another thread has already added the same version. */
    private ChunkSet putIfAbsent(ChunkSet fresh) {
        synchronized (sets) {
            Optional<ChunkSet> existing = chunkSet(fresh.model(), fresh.version());
            if (existing.isPresent()) {
                return existing.get();
            }
            sets.addFirst(fresh);
            while (sets.size() > MAX_SETS) {
                sets.removeLast();
            }
        }
        return fresh;
    }

    /** The newest version that has been started and may be served; its chunks are staged as they arrive. */
    Optional<ChunkSet> newestStarted(String model, long held, long minVersion) {
        return newest(model, set -> set.version() > held && set.version() >= minVersion);
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
    Optional<ChunkSet> newestComplete(String model, long held, long minVersion) {
        return newest(model, set -> set.version() > held && set.version() >= minVersion && set.isComplete());
    }

    private Optional<ChunkSet> newest(String model, Predicate<ChunkSet> condition) {
        synchronized (sets) {
            return sets.stream()
                    .filter(set -> set.model().equals(model))
                    .filter(condition)
                    .max(Comparator.comparingLong(ChunkSet::version));
        }
    }

    // -- estimates

    /**
     * The expected time for some chunks of a version, in milliseconds; {@link Long#MAX_VALUE} if it is not being
     * fetched.
     */
    long expectedMillis(ChunkSet set, int chunks) {
        return currentFetch
                .filter(progress -> progress.isFor(set))
                .map(progress -> progress.expectedMillis(chunks))
                .orElse(Long.MAX_VALUE);
    }

    /**
     * The expected time until a version is complete, in milliseconds; {@link Long#MAX_VALUE} if it is not being
     * fetched.
     */
    long remainingMillis(String model, long version) {
        return chunkSet(model, version)
                .map(set -> expectedMillis(set, set.digests().size() - set.presentCount()))
                .orElse(Long.MAX_VALUE);
    }

    // -- fetching

    /** Fetches missing chunks of the version that should replace the held one. */
    void fetchNewerThan(String model, long held) throws InterruptedException {
        if (held >= deadlines.newest(model)) {
            return;
        }
        boolean progressed = fetchNewest(model, held) || fetchOlder(model, held);
        if (!progressed) {
            Thread.sleep(RETRY_MILLIS);
        }
    }

    /**
     * Fetches the newest version until it is complete or an older one is to be fetched first. Returns whether chunks
     * arrived and no older version is to be fetched.
     */
    private boolean fetchNewest(String model, long held) throws InterruptedException {
        long newest = deadlines.newest(model);
        Optional<ChunkSet> set = findOrCreateLogged(model, newest);
        if (set.isEmpty() || set.get().isComplete()) {
            return set.isPresent();
        }
        boolean received = fetch(set.get(), shouldContinueNewest(model, held, newest));
        return received && !(deadlines.newest(model) == newest && overlapPolicy.prefersOlder(model, held));
    }

    /** Whether to continue fetching a version that was the newest when its fetch started. */
    Predicate<FetchProgress> shouldContinueNewest(String model, long held, long newest) {
        return progress -> deadlines.newest(model) == newest
                ? !overlapPolicy.shouldFetchOlderFirst(model, held, progress, false)
                : !progress.isStalled() && isHalfPresent(progress.set());
    }

    /**
     * Whether so many chunks of a version are present that completing it is better than leaving the endpoint on the
     * previous one.
     */
    private static boolean isHalfPresent(ChunkSet set) {
        return set.presentCount() * 2 >= set.digests().size();
    }

    /**
     * Fetches a version that was named before the newest while the newest is unavailable: the origin may be unavailable
     * for seconds, and other agents have the chunks of the previous version. Otherwise, endpoints that do not have half
     * of either version serve nothing until the origin is back.
     */
    private boolean fetchOlder(String model, long held) throws InterruptedException {
        OptionalLong older = overlapPolicy.olderToFetch(model, held);
        Optional<ChunkSet> set = older.isPresent() ? findOrCreateLogged(model, older.getAsLong()) : Optional.empty();
        if (set.isEmpty()) {
            return false;
        }
        try (OriginProbe probe = probeNewest(model)) {
            return fetch(set.get(), shouldContinueOlder(model, held, older.getAsLong(), probe::delivers));
        }
    }

    /** Probes the newest version if none of it arrived last. One that arrived slowly was not abandoned for an outage. */
    private OriginProbe probeNewest(String model) {
        long newest = deadlines.newest(model);
        return overlapPolicy.isNewestAway(model)
                ? OriginProbe.start(newest, attempt -> originDelivers(model, newest, attempt))
                : OriginProbe.none();
    }

    private boolean originDelivers(String model, long version, int attempt) {
        Optional<ChunkSet> set = chunkSet(model, version);
        return set.isPresent()
                ? fetcher.originDelivers(set.get())
                : fetcher.createSetOnReturn(model, version, attempt % DIRECT_PROBE_INTERVAL == 0)
                        .map(this::putIfAbsent)
                        .toOptional()
                        .isPresent();
    }

    /** Whether to continue fetching a version that was named before the newest, which is unavailable. */
    Predicate<FetchProgress> shouldContinueOlder(String model, long held, long version) {
        return shouldContinueOlder(model, held, version, () -> false);
    }

    /** Whether to continue fetching a version that was named before the newest. */
    Predicate<FetchProgress> shouldContinueOlder(
            String model, long held, long version, BooleanSupplier newestAvailable) {
        return progress -> {
            boolean available = newestAvailable.getAsBoolean();
            return overlapPolicy.olderToFetch(model, held).equals(OptionalLong.of(version))
                    && !progress.isStalled()
                    && (overlapPolicy.shouldFetchOlderFirst(model, held, progress, !available)
                            || !available && overlapPolicy.isMuchFaster(model, progress));
        };
    }

    private boolean fetch(ChunkSet set, Predicate<FetchProgress> wanted) throws InterruptedException {
        int before = set.presentCount();
        FetchProgress progress = startProgress(set);
        fetcher.fetch(set, stopOnceFalse(() -> wanted.test(progress)));
        overlapPolicy.onFetchEnded(progress);
        return set.presentCount() > before;
    }

    /** Starts to measure the fetch of a version. */
    FetchProgress startProgress(ChunkSet set) {
        FetchProgress progress = new FetchProgress(set, monotonicMillis);
        overlapPolicy.onSwitch(set, currentFetch);
        currentFetch = Optional.of(progress);
        return progress;
    }

    /** Decides between versions that overlap. */
    OverlapPolicy overlapPolicy() {
        return overlapPolicy;
    }

    /**
     * Returns a condition that stays false once it was false: several threads evaluate it, and a chunk that arrives
     * late would otherwise make some of them continue.
     */
    private static BooleanSupplier stopOnceFalse(BooleanSupplier wanted) {
        AtomicBoolean stopped = new AtomicBoolean();
        return () -> {
            synchronized (stopped) {
                stopped.compareAndSet(false, !stopped.get() && !wanted.getAsBoolean());
                return !stopped.get();
            }
        };
    }
}
