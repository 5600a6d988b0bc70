package org.micabarrow.coordination.weights;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.micabarrow.coordination.endpoint.Endpoint;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Manifest;
import org.micabarrow.state.Result;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings one artifact to this instance: chunk by chunk from the best source that works, each chunk checked before it is
 * passed on to readers or handed to the endpoint. Runs on a thread of its own until done or cancelled.
 */
public final class Transfer implements Runnable {

    private static final Logger LOG = LoggerFactory.getLogger(Transfer.class);

    /** The pause before a manifest is asked for, or a chunk staged, again, in milliseconds. */
    private static final int RETRY_MILLIS = 300;

    /** How many times the patience the first source of the plan may wait for its own source. */
    private static final int WAITING_FACTOR = 8;

    private final TransferTask task;
    private final Weights weights;
    private final Endpoint endpoint;
    private final TransferMetrics metrics;
    private final InstantSource clock;
    private final SourceChoice choice;
    private final OriginAllowance allowance;
    private final AtomicReference<Progress> progress = new AtomicReference<>(Progress.none());
    private volatile ChunkWindow window;
    private volatile boolean cancelled;

    /**
     * Makes a transfer; {@link #run} does the work.
     *
     * @param task what to bring
     * @param weights reads from sources
     * @param endpoint takes the chunks
     * @param budget grants bytes from the origin
     * @param metrics counts
     * @param clock tells the time
     */
    public Transfer(
            TransferTask task,
            Weights weights,
            Endpoint endpoint,
            OriginBudget budget,
            TransferMetrics metrics,
            InstantSource clock) {
        this.task = Objects.requireNonNull(task, "task is null");
        this.weights = Objects.requireNonNull(weights, "weights is null");
        this.endpoint = Objects.requireNonNull(endpoint, "endpoint is null");
        this.metrics = Objects.requireNonNull(metrics, "metrics is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.choice = SourceChoice.of(task.sources(), task.afterStall());
        this.allowance = OriginAllowance.of(task, budget);
    }

    /**
     * How far a transfer has come.
     *
     * @param chunks the chunks verified and staged
     * @param total the chunks in all, 0 while the manifest is not known
     * @param fault the latest failure, if nothing has gone well since
     */
    public record Progress(int chunks, int total, Optional<Fault> fault) {

        /**
         * The progress at the start.
         *
         * @return no chunks of an unknown number
         */
        static Progress none() {
            return new Progress(0, 0, Optional.empty());
        }

        /**
         * Whether all chunks have been staged.
         *
         * @return true when done
         */
        public boolean complete() {
            return total > 0 && chunks == total;
        }
    }

    // -- reading

    /**
     * How far the transfer has come.
     *
     * @return the progress
     */
    public Progress progress() {
        return progress.get();
    }

    /**
     * The chunks that may be passed on.
     *
     * @return the window, empty until the manifest is known
     */
    public Optional<ChunkWindow> window() {
        return Optional.ofNullable(window);
    }

    /** Stops the transfer and frees its chunks. */
    public void cancel() {
        cancelled = true;
        if (window != null) {
            window.close();
        }
    }

    // -- working

    @Override
    public void run() {
        try {
            Optional<Manifest> manifest = awaitManifest();
            if (manifest.isPresent()) {
                receiveAll(manifest.get());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Optional<Manifest> awaitManifest() throws InterruptedException {
        while (!cancelled) {
            Result<Manifest> manifest = weights.manifest(task.artifact());
            if (manifest instanceof Result.Success<Manifest>(Manifest found)) {
                return Optional.of(found);
            }
            manifest.cause().ifPresent(this::recordFault);
            Thread.sleep(RETRY_MILLIS);
        }
        return Optional.empty();
    }

    private void receiveAll(Manifest manifest) throws InterruptedException {
        int total = manifest.chunks().size();
        int capacity = (int) Math.max(2, Math.min(total, task.windowBytes() / manifest.chunkBytes()));
        window = new ChunkWindow(capacity, total, task.patience().multipliedBy(2));
        task.follower().ifPresent(window::expect);
        progress.set(new Progress(0, total, Optional.empty()));
        while (!cancelled && window.next() < total) {
            long pause = choice.waitMillis(clock.millis());
            if (pause > 0) {
                Thread.sleep(pause);
            }
            Source source = choice.next(clock.millis());
            Result<Integer> received = receiveFrom(source, manifest);
            received.cause().ifPresent(fault -> recordFailure(source, fault));
        }
    }

    /** Reads until the source fails, a better one may be asked again, or nothing is left. */
    private Result<Integer> receiveFrom(Source source, Manifest manifest) throws InterruptedException {
        if (source instanceof Source.Origin) {
            Optional<Fault> refused = allowance.ask(missingBytes(manifest));
            if (refused.isPresent()) {
                return Result.failure(refused.get());
            }
        }
        LOG.info(
                "transfer artifact={} source={} from={} of={}",
                shortName(task.artifact()),
                source,
                window.next(),
                manifest.chunks().size());
        try (Weights.Feed feed = weights.open(
                source, task.artifact(), window.next(), manifest.chunks().size())) {
            while (!cancelled
                    && window.next() < manifest.chunks().size()
                    && !choice.betterThan(source, clock.millis())) {
                Result<byte[]> next = feed.next(patience(source));
                if (next instanceof Result.Failure<byte[]>(Fault fault)) {
                    return Result.failure(fault);
                }
                Optional<Fault> fault = take(source, manifest, next.toOptional().orElseThrow());
                if (fault.isPresent()) {
                    return Result.failure(fault.get());
                }
            }
        }
        return Result.success(window.next());
    }

    /**
     * A source that waits for its own source is waited for where the plan names it first, since it will choose another one
     * itself. Any other source is left soon, since one that waits may be waiting for this very instance.
     */
    private Weights.Patience patience(Source source) {
        boolean named = source.equals(task.sources().getFirst());
        Duration waiting = named
                ? task.patience().multipliedBy(WAITING_FACTOR)
                : task.patience().dividedBy(2);
        return new Weights.Patience(task.patience(), waiting);
    }

    private long missingBytes(Manifest manifest) {
        return manifest.bytes() - (long) window.next() * manifest.chunkBytes();
    }

    private Optional<Fault> take(Source source, Manifest manifest, byte[] data) throws InterruptedException {
        int index = window.next();
        Result<byte[]> good =
                received(source, manifest, index, data) ? Result.success(data) : again(source, manifest, index);
        if (good instanceof Result.Failure<byte[]>(Fault fault)) {
            return Optional.of(fault);
        }
        choice.delivered(source);
        window.add(good.toOptional().orElseThrow());
        return stage(index, manifest.chunks().size(), good.toOptional().orElseThrow());
    }

    /** Counts a chunk, and checks it. */
    private boolean received(Source source, Manifest manifest, int index, byte[] data) {
        metrics.received(source, data.length);
        if (source instanceof Source.Origin) {
            allowance.use(data.length);
        }
        boolean good = manifest.matches(index, data);
        if (!good) {
            metrics.corrupted(source);
        }
        return good;
    }

    /** One corrupted chunk may come from the link: it alone is asked for again, while the stream stays open. */
    private Result<byte[]> again(Source source, Manifest manifest, int index) {
        LOG.warn("transfer artifact={} source={} chunk={} corrupted", shortName(task.artifact()), source, index);
        try (Weights.Feed feed = weights.open(source, task.artifact(), index, index + 1)) {
            return feed.next(patience(source))
                    .flatMap(data -> received(source, manifest, index, data)
                            ? Result.success(data)
                            : Result.failure(Fault.of(
                                    Step.FETCH,
                                    source.toString(),
                                    Reason.CORRUPT,
                                    "chunk " + index + " does not have its digest, twice")));
        }
    }

    private Optional<Fault> stage(int index, int total, byte[] data) throws InterruptedException {
        while (!cancelled) {
            Result<Integer> staged = endpoint.stage(task.artifact(), index, data);
            if (staged instanceof Result.Success) {
                progress.set(new Progress(index + 1, total, Optional.empty()));
                return Optional.empty();
            }
            staged.cause().ifPresent(this::recordFault);
            Thread.sleep(RETRY_MILLIS);
        }
        return Optional.of(Fault.of(Step.STAGE, "endpoint", Reason.CANCELLED, "the transfer was cancelled"));
    }

    private void recordFailure(Source source, Fault fault) {
        recordFault(fault);
        LOG.warn("transfer artifact={} source={} failed: {}", shortName(task.artifact()), source, fault);
        if (fault.reason() != Reason.CANCELLED) {
            choice.failed(source, fault.reason() == Reason.STALLED, clock.millis());
            metrics.abandoned(source);
        }
    }

    private void recordFault(Fault fault) {
        progress.updateAndGet(now -> new Progress(now.chunks(), now.total(), Optional.of(fault)));
    }

    private static String shortName(String digest) {
        return digest.substring(0, Math.min(12, digest.length()));
    }
}
