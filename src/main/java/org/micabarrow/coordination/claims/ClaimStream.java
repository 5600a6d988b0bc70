package org.micabarrow.coordination.claims;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.micabarrow.coordination.log.PlatformLog;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;
import org.micabarrow.steps.StoppableThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes claims to one stream of the log and reports which claim holds a key. Waiting claims are batched into one append,
 * so that a few hundred appends a second carry many claims.
 *
 * <pre>{@code
 * ClaimStream claims = Claims.start(log, "claims-0", Duration.ofHours(1), clock);
 * }</pre>
 */
public final class ClaimStream implements ClaimWriter, AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(ClaimStream.class);

    /** The maximum number of claims in one append, which bounds the size of a record. */
    private static final int MAX_BATCH_SIZE = 256;

    /** How long a read waits for a new record when the end of the log has been reached. */
    private static final Duration READ_WAIT = Duration.ofSeconds(2);

    /** The delay before a retry after a failed append or read. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(100);

    private final PlatformLog log;
    private final String stream;
    private final InstantSource clock;
    private final LinkedBlockingQueue<PendingClaim> queue = new LinkedBlockingQueue<>();
    private final Object lock = new Object();
    private final ClaimTable table;
    private final Map<String, PendingClaim> pending = new HashMap<>();
    private final StoppableThread writer;
    private final StoppableThread reader;
    private long nextOffset;
    private volatile boolean caughtUp;

    private ClaimStream(PlatformLog log, String stream, Duration retention, InstantSource clock) {
        this.log = Objects.requireNonNull(log, "log is null");
        this.stream = Objects.requireNonNull(stream, "stream is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.table = new ClaimTable(retention.toMillis());
        this.writer = new StoppableThread(stream + "-writer", this::writeAll);
        this.reader = new StoppableThread(stream + "-reader", this::readAll);
    }

    /** A claim that waits for its result. */
    private record PendingClaim(Claim claim, long deadlineMillis, CompletableFuture<ClaimResult> result) {}

    /**
     * Starts reading and writing a stream.
     *
     * @param log the platform's log
     * @param stream the stream
     * @param retention how long a claim is kept
     * @param clock measures timeouts and the age of claims
     * @return the claims, with their threads running
     */
    public static ClaimStream start(PlatformLog log, String stream, Duration retention, InstantSource clock) {
        ClaimStream claims = new ClaimStream(log, stream, retention, clock);
        claims.writer.start();
        claims.reader.start();
        return claims;
    }

    @Override
    public CompletableFuture<ClaimResult> claim(Claim claim, Duration timeout) {
        Objects.requireNonNull(claim, "claim is null");
        Optional<Claim> holder = caughtUp ? holder(claim.key()) : Optional.empty();
        boolean heldByOther = holder.isPresent()
                && !claim.after().equals(Optional.of(holder.get().attempt()));
        if (heldByOther) {
            return CompletableFuture.completedFuture(heldBy(holder.get()));
        }
        PendingClaim pendingClaim =
                new PendingClaim(claim, clock.millis() + timeout.toMillis(), new CompletableFuture<>());
        synchronized (lock) {
            pending.put(claim.attempt(), pendingClaim);
        }
        queue.add(pendingClaim);
        return pendingClaim
                .result()
                .completeOnTimeout(
                        new ClaimResult.Failed(fault(Reason.TIMEOUT, "the claim was not seen in the log in time")),
                        timeout.toMillis(),
                        TimeUnit.MILLISECONDS)
                .whenComplete((result, thrown) -> removePending(claim.attempt()));
    }

    private ClaimResult heldBy(Claim holder) {
        synchronized (lock) {
            return new ClaimResult.Held(holder, clock.millis() - table.seenMillis(holder.key()));
        }
    }

    private void removePending(String attempt) {
        synchronized (lock) {
            pending.remove(attempt);
        }
    }

    /**
     * The claim that holds a key, according to the part of the log that has been read.
     *
     * @param key the key
     * @return the claim, if the key is held
     */
    public Optional<Claim> holder(String key) {
        synchronized (lock) {
            return table.holder(key);
        }
    }

    /**
     * The number of held keys.
     *
     * @return the count
     */
    public int size() {
        synchronized (lock) {
            return table.size();
        }
    }

    // -- writer

    private void writeAll() {
        while (!writer.isClosing()) {
            try {
                List<PendingClaim> batch = new ArrayList<>();
                batch.add(queue.take());
                queue.drainTo(batch, MAX_BATCH_SIZE - 1);
                write(batch);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /**
     * Appends until an append is acknowledged or all claims have ended or timed out. Repeated appends are harmless: a claim
     * that is in the log twice counts once.
     */
    private void write(List<PendingClaim> batch) {
        List<PendingClaim> remaining = new ArrayList<>(batch);
        while (!writer.isClosing()) {
            remaining.removeIf(claim -> claim.result().isDone() || claim.deadlineMillis() <= clock.millis());
            if (remaining.isEmpty()) {
                return;
            }
            byte[] body = CanonicalJson.write(
                    remaining.stream().map(PendingClaim::claim).toList());
            Result<Long> appended = log.append(stream, body);
            if (appended instanceof Result.Success) {
                return;
            }
            LOG.warn(
                    "claims={} not acknowledged: {}",
                    remaining.size(),
                    appended.cause().orElseThrow());
            writer.pause(RETRY_DELAY);
        }
    }

    // -- reader

    private void readAll() {
        while (!reader.isClosing()) {
            Result<PlatformLog.Page> page = log.read(stream, nextOffset, caughtUp ? READ_WAIT : Duration.ZERO);
            switch (page) {
                case Result.Success<PlatformLog.Page>(PlatformLog.Page read) -> applyPage(read);
                case Result.Failure<PlatformLog.Page>(Fault fault) -> {
                    if (!reader.isClosing()) {
                        LOG.warn("claims not read: {}", fault);
                        reader.pause(RETRY_DELAY);
                    }
                }
            }
        }
    }

    private void applyPage(PlatformLog.Page page) {
        for (PlatformLog.Entry entry : page.records()) {
            applyEntry(entry);
            nextOffset = entry.offset() + 1;
        }
        if (page.records().isEmpty()) {
            caughtUp = true;
        }
    }

    private void applyEntry(PlatformLog.Entry entry) {
        try {
            List<Claim> claims = CanonicalJson.mapper().readValue(entry.body(), new TypeReference<>() {});
            claims.forEach(claim -> applyClaim(entry.atMillis(), claim));
        } catch (IOException e) {
            LOG.error("claims stream={} offset={} cannot be read: {}", stream, entry.offset(), e.getMessage());
        }
    }

    private void applyClaim(long atMillis, Claim claim) {
        ClaimResult result;
        PendingClaim pendingClaim;
        synchronized (lock) {
            boolean holds = table.apply(atMillis, clock.millis(), claim);
            result = holds
                    ? new ClaimResult.Won()
                    : heldBy(table.holder(claim.key()).orElseThrow());
            pendingClaim = pending.get(claim.attempt());
        }
        if (pendingClaim != null) {
            pendingClaim.result().complete(result);
        }
    }

    private Fault fault(Reason reason, String message) {
        return Fault.of(Step.CLAIM, "log/" + stream, reason, message);
    }

    /** Stops reading and writing. After it returns, no call to the log is in progress and none starts. */
    @Override
    public void close() {
        reader.close();
        writer.close();
    }
}
