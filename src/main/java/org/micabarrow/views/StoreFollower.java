package org.micabarrow.views;

import java.time.Duration;
import java.util.Objects;
import java.util.function.Consumer;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Result;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps one topic of the view up to date from the store, and from peers while the store does not respond to this
 * process.
 */
public final class StoreFollower {

    private static final Logger LOG = LoggerFactory.getLogger(StoreFollower.class);

    /**
     * The pause after a failed read, in milliseconds. With a request to a peer in between, a change reaches this
     * process well within the two seconds that the platform allows by default.
     */
    private static final long RETRY_MILLIS = 300;

    /**
     * While the store is unreachable, it is read only once in this many rounds, that is every 0.9 s. Peers are queried
     * in every round. The return of the store is noticed within a third of the three seconds after which a process must
     * be connected again. If it were read in every round, 20 processes would send 130 requests a second to a store that
     * refuses them.
     */
    private static final int ROUNDS_PER_READ = 3;

    private final Topic topic;
    private final TopicReader reader;
    private final ViewMaintainer views;
    private final Consumer<Topic> requestFromPeer;
    private final PollTiming timing;
    private volatile boolean loaded;
    private volatile boolean reachable = true;
    private volatile boolean initialized;
    private int roundsWithoutRead;

    /** Whether all latest records were read just before. If they have expired again, the next read is not hurried. */
    private boolean justLoaded;

    /**
     * Whether the last read was held and returned operator records. Such a read proves that all records are known only
     * up to the time at which it was sent, which may be a whole hold ago. The next read is therefore not held, or the
     * age of the proof could reach two holds in quiet times.
     */
    private boolean heldReadFoundRecords;

    /**
     * The timing of reads.
     *
     * @param hold how long the store may hold a read that finds no records
     * @param pause the pause after a read that returned records, so that topics with many writes are read in batches
     */
    public record PollTiming(Duration hold, Duration pause) {}

    /**
     * Creates a follower.
     *
     * @param topic the topic
     * @param reader reads the store
     * @param views receives the records
     * @param requestFromPeer requests records of a topic from a peer when the store cannot be read
     * @param timing the timing of reads
     */
    public StoreFollower(
            Topic topic, TopicReader reader, ViewMaintainer views, Consumer<Topic> requestFromPeer, PollTiming timing) {
        this.topic = Objects.requireNonNull(topic, "topic is null");
        this.reader = Objects.requireNonNull(reader, "reader is null");
        this.views = Objects.requireNonNull(views, "views is null");
        this.requestFromPeer = Objects.requireNonNull(requestFromPeer, "requestFromPeer is null");
        this.timing = Objects.requireNonNull(timing, "timing is null");
    }

    /**
     * Whether this process follows the topic without interruption, so that only records in transit are unknown.
     *
     * @return false before the first read, and while the store does not respond
     */
    public boolean isConnected() {
        return loaded && reachable;
    }

    /**
     * Whether the topic was read once, or a peer was queried instead because the store could not be read. A process
     * that accepts requests earlier does not know what the other processes know.
     *
     * @return true from then on
     */
    public boolean isInitialized() {
        return initialized;
    }

    /** Follows the topic on a separate thread, which runs until the process ends. */
    public void start() {
        Thread.ofPlatform().name("follow-" + topic).daemon().start(this::follow);
    }

    private void follow() {
        try {
            while (true) {
                Thread.sleep(runGuarded());
            }
        } catch (InterruptedException e) {
            LOG.info("event=follower_stopped topic={}", topic);
        }
    }

    /**
     * Reads once. An unexpected exception fails a single read and does not end the thread, which would leave the view
     * outdated.
     */
    private long runGuarded() {
        try {
            return readOnce();
        } catch (RuntimeException e) {
            LOG.error("event=read_failed topic={}", topic, e);
            return RETRY_MILLIS;
        }
    }

    /**
     * Reads once.
     *
     * @return how long to wait before the next read, in milliseconds
     */
    public long readOnce() {
        views.applyDueChanges();
        // An entry that was disconnected reads at once when peers send updates again: waiting for its turn would take
        // up to 1.9 s of the 3 s allowed for a manifest.
        if (!reachable && loaded && !reader.hasPeerUpdates(topic) && ++roundsWithoutRead < ROUNDS_PER_READ) {
            requestFromPeer.accept(topic);
            return RETRY_MILLIS;
        }
        roundsWithoutRead = 0;
        Result<Long> pause = loaded ? readNext() : load();
        return switch (pause) {
            case Result.Success<Long>(Long millis) -> {
                initialized = true;
                yield millis;
            }
            case Result.Failure<Long>(Fault fault) -> {
                onStoreLost(fault);
                requestFromPeer.accept(topic);
                initialized = true;
                yield RETRY_MILLIS;
            }
        };
    }

    private Result<Long> load() {
        return reader.readLatest(topic).map(batch -> {
            onStoreReachable();
            views.replace(topic, batch.records(), batch.end());
            confirm(batch);
            loaded = true;
            justLoaded = true;
            return 0L;
        });
    }

    private Result<Long> readNext() {
        boolean held = reachable && !heldReadFoundRecords;
        return (reachable ? readWithRetry(held ? untilNextRemoval(timing.hold()) : Duration.ZERO) : read(Duration.ZERO))
                .map(read -> {
                    onStoreReachable();
                    return apply(read, held);
                });
    }

    /** Shortens a hold or pause so that it ends when the first pending removal is due. */
    private Duration untilNextRemoval(Duration wait) {
        return topic == Topic.ENDPOINTS ? views.untilNextRemoval(wait) : wait;
    }

    private Result<TopicReader.Read> read(Duration wait) {
        return reader.read(topic, views.end(topic), wait);
    }

    /**
     * Reads again at once if no response arrived: an open connection may be reset or stop responding for good while the
     * store itself is available on a new connection. This needs no pause, and no removal becomes pending.
     */
    private Result<TopicReader.Read> readWithRetry(Duration wait) {
        Result<TopicReader.Read> first = read(wait);
        if (first instanceof Result.Failure<TopicReader.Read>(Fault fault) && isConnectionFault(fault)) {
            LOG.info("event=store_read_again topic={} why=\"{}\"", topic, fault);
            if (topic == Topic.ENDPOINTS) {
                // If the store itself is unresponsive, a peer responds sooner; waiting for another timeout would exceed
                // the bound.
                requestFromPeer.accept(topic);
            }
            return read(Duration.ZERO);
        }
        return first;
    }

    /** Whether a fault may be caused by the connection alone, which was reset or stopped responding. */
    private static boolean isConnectionFault(Fault fault) {
        return fault.reason() == Reason.TIMEOUT || fault.reason() == Reason.UNREACHABLE;
    }

    private long apply(TopicReader.Read read, boolean held) {
        heldReadFoundRecords = false;
        return switch (read) {
            case TopicReader.Read.Records(TopicReader.Batch batch) -> {
                justLoaded = false;
                views.apply(topic, batch);
                confirm(batch);
                heldReadFoundRecords =
                        topic == Topic.OPERATOR && held && !batch.records().isEmpty();
                yield batch.records().isEmpty() || heldReadFoundRecords
                        ? 0L
                        : untilNextRemoval(timing.pause()).toMillis();
            }
            case TopicReader.Read.Expired ignored -> {
                LOG.info("event=history_expired topic={} {}", topic, EraOffset.toLog(views.end(topic)));
                loaded = false;
                long pause = justLoaded ? RETRY_MILLIS : 0L;
                justLoaded = false;
                yield pause;
            }
        };
    }

    private void confirm(TopicReader.Batch batch) {
        if (topic == Topic.OPERATOR) {
            batch.asOfMillis().ifPresent(asOf -> views.confirmOperator(batch.end(), asOf));
        }
    }

    private void onStoreLost(Fault fault) {
        if (reachable) {
            LOG.warn("event=store_lost topic={} why=\"{}\"", topic, fault);
        }
        reachable = false;
        views.onStoreLost(topic);
    }

    private void onStoreReachable() {
        if (!reachable) {
            LOG.info("event=store_regained topic={} {}", topic, EraOffset.toLog(views.end(topic)));
            views.onStoreReachable(topic);
        }
        reachable = true;
    }
}
