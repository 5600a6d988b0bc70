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
 * Writes claims to one stream of the log and tells who holds a key. Claims that wait go together in one append, so that
 * a few hundred appends a second carry many claims.
 *
 * <pre>{@code
 * Claims claims = Claims.start(log, "claims-0", Duration.ofHours(1), clock);
 * }</pre>
 */
public final class Claims implements ClaimWriter, AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(Claims.class);

    /** The most claims in one append, which bounds the size of a record. */
    private static final int MOST_IN_BATCH = 256;

    /** How long a read of the log waits for a record once all that it has was read. */
    private static final Duration READ_WAIT = Duration.ofSeconds(2);

    /** The pause before the log is asked again after a failure. */
    private static final Duration PAUSE = Duration.ofMillis(100);

    private final PlatformLog log;
    private final String stream;
    private final InstantSource clock;
    private final LinkedBlockingQueue<Waiting> queue = new LinkedBlockingQueue<>();
    private final Object lock = new Object();
    private final ClaimBook book;
    private final Map<String, Waiting> waiting = new HashMap<>();
    private final StoppableThread writer;
    private final StoppableThread reader;
    private long nextOffset;
    private volatile boolean caughtUp;

    private Claims(PlatformLog log, String stream, Duration kept, InstantSource clock) {
        this.log = Objects.requireNonNull(log, "log is null");
        this.stream = Objects.requireNonNull(stream, "stream is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.book = new ClaimBook(kept.toMillis());
        this.writer = new StoppableThread(stream + "-writer", this::writeAll);
        this.reader = new StoppableThread(stream + "-reader", this::readAll);
    }

    /** A claim that waits for its verdict. */
    private record Waiting(Claim claim, long untilMillis, CompletableFuture<ClaimVerdict> verdict) {}

    /**
     * Starts reading and writing a stream.
     *
     * @param log the platform's log
     * @param stream the stream
     * @param kept how long a claim is kept
     * @param clock measures the time given
     * @return the running claims
     */
    public static Claims start(PlatformLog log, String stream, Duration kept, InstantSource clock) {
        Claims claims = new Claims(log, stream, kept, clock);
        claims.writer.start();
        claims.reader.start();
        return claims;
    }

    @Override
    public CompletableFuture<ClaimVerdict> claim(Claim claim, Duration within) {
        Objects.requireNonNull(claim, "claim is null");
        Optional<Claim> holder = caughtUp ? holder(claim.key()) : Optional.empty();
        boolean heldByOther = holder.isPresent()
                && !claim.after().equals(Optional.of(holder.get().attempt()));
        if (heldByOther) {
            return CompletableFuture.completedFuture(held(holder.get()));
        }
        Waiting one = new Waiting(claim, clock.millis() + within.toMillis(), new CompletableFuture<>());
        synchronized (lock) {
            waiting.put(claim.attempt(), one);
        }
        queue.add(one);
        return one.verdict()
                .completeOnTimeout(
                        new ClaimVerdict.Failed(fault(Reason.TIMEOUT, "the claim was not seen in the log in time")),
                        within.toMillis(),
                        TimeUnit.MILLISECONDS)
                .whenComplete((verdict, thrown) -> forget(claim.attempt()));
    }

    private ClaimVerdict held(Claim holder) {
        synchronized (lock) {
            return new ClaimVerdict.Held(holder, clock.millis() - book.seenMillis(holder.key()));
        }
    }

    private void forget(String attempt) {
        synchronized (lock) {
            waiting.remove(attempt);
        }
    }

    /**
     * The claim that holds a key, as far as the log has been read.
     *
     * @param key the key
     * @return the claim, if the key is held
     */
    public Optional<Claim> holder(String key) {
        synchronized (lock) {
            return book.holder(key);
        }
    }

    /**
     * The number of keys held.
     *
     * @return the size of the book
     */
    public int size() {
        synchronized (lock) {
            return book.size();
        }
    }

    // -- writing

    private void writeAll() {
        while (!writer.isClosing()) {
            try {
                List<Waiting> batch = new ArrayList<>();
                batch.add(queue.take());
                queue.drainTo(batch, MOST_IN_BATCH - 1);
                write(batch);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Appends until an append is acknowledged or nobody waits; the same claim twice counts once. */
    private void write(List<Waiting> batch) {
        List<Waiting> left = new ArrayList<>(batch);
        while (!writer.isClosing()) {
            left.removeIf(one -> one.verdict().isDone() || one.untilMillis() <= clock.millis());
            if (left.isEmpty()) {
                return;
            }
            byte[] body = CanonicalJson.write(left.stream().map(Waiting::claim).toList());
            Result<Long> appended = log.append(stream, body);
            if (appended instanceof Result.Success) {
                return;
            }
            LOG.warn(
                    "claims={} not acknowledged: {}",
                    left.size(),
                    appended.cause().orElseThrow());
            writer.pause(PAUSE);
        }
    }

    // -- reading

    private void readAll() {
        while (!reader.isClosing()) {
            Result<PlatformLog.Page> page = log.read(stream, nextOffset, caughtUp ? READ_WAIT : Duration.ZERO);
            switch (page) {
                case Result.Success<PlatformLog.Page>(PlatformLog.Page read) -> foldPage(read);
                case Result.Failure<PlatformLog.Page>(Fault fault) -> {
                    if (!reader.isClosing()) {
                        LOG.warn("claims not read: {}", fault);
                        reader.pause(PAUSE);
                    }
                }
            }
        }
    }

    private void foldPage(PlatformLog.Page page) {
        for (PlatformLog.Entry entry : page.records()) {
            foldEntry(entry);
            nextOffset = entry.offset() + 1;
        }
        if (page.records().isEmpty()) {
            caughtUp = true;
        }
    }

    private void foldEntry(PlatformLog.Entry entry) {
        try {
            List<Claim> claims = CanonicalJson.mapper().readValue(entry.body(), new TypeReference<>() {});
            claims.forEach(claim -> foldClaim(entry.atMillis(), claim));
        } catch (IOException e) {
            LOG.error("claims stream={} offset={} cannot be read: {}", stream, entry.offset(), e.getMessage());
        }
    }

    private void foldClaim(long atMillis, Claim claim) {
        ClaimVerdict verdict;
        Waiting one;
        synchronized (lock) {
            boolean holds = book.fold(atMillis, clock.millis(), claim);
            verdict = holds
                    ? new ClaimVerdict.Won()
                    : held(book.holder(claim.key()).orElseThrow());
            one = waiting.get(claim.attempt());
        }
        if (one != null) {
            one.verdict().complete(verdict);
        }
    }

    private Fault fault(Reason reason, String message) {
        return Fault.of(Step.CLAIM, "log/" + stream, reason, message);
    }

    /** Ends reading and writing; when it returns, no call goes on and none begins. */
    @Override
    public void close() {
        reader.close();
        writer.close();
    }
}
