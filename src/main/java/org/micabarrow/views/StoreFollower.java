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
 * Keeps one topic of the view up to date from the store, and from peers while the store does not answer this process.
 */
public final class StoreFollower {

    private static final Logger LOG = LoggerFactory.getLogger(StoreFollower.class);

    /**
     * How long to wait after a failed read, in milliseconds: with a question to a peer in between, a change reaches this
     * process well within the two seconds that the platform allows by default.
     */
    private static final long AGAIN_MILLIS = 300;

    /**
     * Every how many rounds the store is read while it cannot be: every 0.9 s. Peers are asked in each round. A store that
     * comes back is noticed within a third of the three seconds after which a process must be in touch again; read in every
     * round, 20 processes ask a store that refuses them 130 times a second.
     */
    private static final int ROUNDS_A_READ = 3;

    private final Topic topic;
    private final TopicReader reader;
    private final ViewMaintainer keeper;
    private final Consumer<Topic> askPeer;
    private final Pace pace;
    private volatile boolean loaded;
    private volatile boolean reachable = true;
    private volatile boolean tried;
    private int roundsWithoutRead;

    /**
     * Whether the last read was held and found what operators wrote. It proves that all is known only up to the moment it was sent,
     * a whole hold ago perhaps; so the next is not held, or the proof would get as old as two holds in quiet times.
     */
    private boolean foundWhileHeld;

    /**
     * How often to read.
     *
     * @param hold how long the store may hold a read that finds nothing
     * @param rest the pause after a read that found something, so that chatty topics are read in batches
     */
    public record Pace(Duration hold, Duration rest) {}

    /**
     * Makes a follower.
     *
     * @param topic the topic
     * @param reader reads the store
     * @param keeper takes what was read
     * @param askPeer asks a peer for what it knows, when the store cannot be read
     * @param pace how often to read
     */
    public StoreFollower(Topic topic, TopicReader reader, ViewMaintainer keeper, Consumer<Topic> askPeer, Pace pace) {
        this.topic = Objects.requireNonNull(topic, "topic is null");
        this.reader = Objects.requireNonNull(reader, "reader is null");
        this.keeper = Objects.requireNonNull(keeper, "keeper is null");
        this.askPeer = Objects.requireNonNull(askPeer, "askPeer is null");
        this.pace = Objects.requireNonNull(pace, "pace is null");
    }

    /**
     * Whether the topic is known as the store has it, but for what is on its way.
     *
     * @return false before the first read, and while the store does not answer
     */
    public boolean inTouch() {
        return loaded && reachable;
    }

    /**
     * Whether the topic was read, or could not be and a peer was asked in the store's place. A process that takes requests before does not
     * know what the others know.
     *
     * @return true from then on
     */
    public boolean hasTried() {
        return tried;
    }

    /** Follows the topic on a thread of its own, for as long as the process runs. */
    public void start() {
        Thread.ofPlatform().name("follow-" + topic).daemon().start(this::follow);
    }

    private void follow() {
        try {
            while (true) {
                Thread.sleep(onceWhatever());
            }
        } catch (InterruptedException e) {
            LOG.info("event=follower_stopped topic={}", topic);
        }
    }

    /** Reads once; a fault of this program costs one read, not the process's beliefs from then on. */
    private long onceWhatever() {
        try {
            return once();
        } catch (RuntimeException e) {
            LOG.error("event=read_failed topic={}", topic, e);
            return AGAIN_MILLIS;
        }
    }

    /**
     * Reads once.
     *
     * @return how long to wait before the next read, in milliseconds
     */
    public long once() {
        keeper.settleDoubts();
        // An entry that was cut off reads at once when others tell again: by rounds that takes 1.9 s, of 3 s for a
        // manifest.
        if (!reachable && loaded && !reader.peersTell(topic) && ++roundsWithoutRead < ROUNDS_A_READ) {
            askPeer.accept(topic);
            return AGAIN_MILLIS;
        }
        roundsWithoutRead = 0;
        Result<Long> rest = loaded ? readOn() : load();
        return switch (rest) {
            case Result.Success<Long>(Long millis) -> {
                tried = true;
                yield millis;
            }
            case Result.Failure<Long>(Fault fault) -> {
                lost(fault);
                askPeer.accept(topic);
                tried = true;
                yield AGAIN_MILLIS;
            }
        };
    }

    private Result<Long> load() {
        return reader.newest(topic).map(batch -> {
            regained();
            keeper.replace(topic, batch.records(), batch.end());
            confirm(batch);
            loaded = true;
            return 0L;
        });
    }

    private Result<Long> readOn() {
        boolean held = reachable && !foundWhileHeld;
        return (reachable ? readAgainIfLost(held ? untilDoubtEnds(pace.hold()) : Duration.ZERO) : read(Duration.ZERO))
                .map(read -> {
                    regained();
                    return take(read, held);
                });
    }

    /** A hold or a rest: neither lasts longer than until a doubt is over. */
    private Duration untilDoubtEnds(Duration wait) {
        return topic == Topic.ENDPOINTS ? keeper.untilDoubtEnds(wait) : wait;
    }

    private Result<TopicReader.Read> read(Duration wait) {
        return reader.read(topic, keeper.end(topic), wait);
    }

    /**
     * Reads once more at once if no answer came: an open connection may be reset or fall silent for good while the store is
     * well, and answers on a new one. No pause is in the way then, and no dropped entry is doubted.
     */
    private Result<TopicReader.Read> readAgainIfLost(Duration wait) {
        Result<TopicReader.Read> first = read(wait);
        if (first instanceof Result.Failure<TopicReader.Read>(Fault fault) && ofConnection(fault)) {
            LOG.info("event=store_read_again topic={} why=\"{}\"", topic, fault);
            if (topic == Topic.ENDPOINTS) {
                // If the store is silent a peer knows sooner, and one more time limit would be over the bound.
                askPeer.accept(topic);
            }
            return read(Duration.ZERO);
        }
        return first;
    }

    /** Whether a fault may lie in the connection alone, which was reset or fell silent. */
    private static boolean ofConnection(Fault fault) {
        return fault.reason() == Reason.TIMEOUT || fault.reason() == Reason.UNREACHABLE;
    }

    private long take(TopicReader.Read read, boolean held) {
        foundWhileHeld = false;
        return switch (read) {
            case TopicReader.Read.Records(TopicReader.Batch batch) -> {
                keeper.apply(topic, batch.records(), batch.end());
                confirm(batch);
                foundWhileHeld =
                        topic == Topic.OPERATOR && held && !batch.records().isEmpty();
                yield batch.records().isEmpty() || foundWhileHeld
                        ? 0L
                        : untilDoubtEnds(pace.rest()).toMillis();
            }
            case TopicReader.Read.Expired ignored -> {
                LOG.info("event=history_expired topic={} from={}", topic, keeper.end(topic));
                loaded = false;
                yield 0L;
            }
        };
    }

    private void confirm(TopicReader.Batch batch) {
        if (topic == Topic.OPERATOR) {
            batch.asOfMillis().ifPresent(keeper::confirmOperator);
        }
    }

    private void lost(Fault fault) {
        if (reachable) {
            LOG.warn("event=store_lost topic={} why=\"{}\"", topic, fault);
        }
        reachable = false;
    }

    private void regained() {
        if (!reachable) {
            LOG.info("event=store_regained topic={} end={}", topic, keeper.end(topic));
            keeper.regained(topic);
        }
        reachable = true;
    }
}
