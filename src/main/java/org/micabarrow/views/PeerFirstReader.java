package org.micabarrow.views;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.micabarrow.state.Result;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads topics only when others tell that there is news, and then from them; the store itself while nobody tells. A process
 * that reads the store by itself makes a call of it every second, and each manifest crosses the link of its region once a process:
 * 30 processes, 40 KB and four changes a second are twice what a link of 18.9 Mbit/s carries, and entries fall behind by more than
 * the time in which a manifest must be in force. So one entry of a region reads the store for the other entries; agents are told by
 * all entries nearby, and of what they act on only.
 */
public final class PeerFirstReader implements TopicReader {

    private static final Logger LOG = LoggerFactory.getLogger(PeerFirstReader.class);

    /** How long an answer to an agent may take, as long as it keeps coming: a large manifest over a narrow link. */
    private static final Duration WHOLE_ANSWER = Duration.ofSeconds(10);

    private final TopicReader store;
    private final Peers peers;
    private final Role role;
    private final LongSupplier steadyMillis;
    private final ToldNews told;

    /** Whether what this process knows of operators' records comes from the store itself. */
    private boolean direct;

    /** Asks peers for records. */
    @FunctionalInterface
    public interface Peers {

        /**
         * Asks a peer for the newest records of a topic at or after an offset.
         *
         * @param peer the peer's host and port
         * @param topic the topic
         * @param from the offset
         * @param within how long the whole answer may take
         * @return the records, and where to read on
         */
        Result<Batch> ask(String peer, Topic topic, long from, Duration within);
    }

    /** Whose word a process goes by, and for what. */
    public sealed interface Role {

        /** Agents need what they act on alone, and any entry nearby may tell. */
        record Agent() implements Role {}

        /**
         * Entries need all that operators wrote. One goes by an entry whose address comes before its own, so that no two wait for
         * each other; by any if the store does not answer it.
         *
         * @param self the address at which this entry is asked for records
         * @param trustMillis how old what a peer knows may be, in milliseconds; the store is read by this process beyond that
         */
        record Entry(String self, long trustMillis) implements Role {

            /** Checks that the address is there. */
            public Entry {
                Objects.requireNonNull(self, "self is null");
            }
        }
    }

    /** What there is to read. */
    private sealed interface News {

        /** Nobody tells. */
        record Unknown() implements News {}

        /** Nothing. */
        record Nothing() implements News {}

        /** A peer knows more. */
        record At(String peer) implements News {}
    }

    /**
     * Makes a reader that was told nothing yet.
     *
     * @param store reads the store
     * @param peers asks those that tell
     * @param role whose word counts
     * @param steadyMillis a clock that never steps, in milliseconds
     */
    public PeerFirstReader(TopicReader store, Peers peers, Role role, LongSupplier steadyMillis) {
        this.store = Objects.requireNonNull(store, "store is null");
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.role = Objects.requireNonNull(role, "role is null");
        this.steadyMillis = Objects.requireNonNull(steadyMillis, "steadyMillis is null");
        this.told = new ToldNews(role);
    }

    // -- what others tell

    /**
     * Takes note of what a peer in touch with the store tells.
     *
     * @param peer the host and port at which it can be asked for records
     * @param changes where the last changes stand that it knows of
     * @param asOfMillis the moment on the steady clock up to which it knows all that operators wrote
     */
    public synchronized void told(String peer, ChangeOffsets changes, long asOfMillis) {
        if (told.take(peer, changes, asOfMillis, steadyMillis.getAsLong())) {
            notifyAll();
        }
    }

    /**
     * Whether what this process knows of operators' records comes from the store itself, so that others may go by it.
     *
     * @return false before the first read, while it goes by a peer, and while the store does not answer
     */
    public synchronized boolean direct() {
        return direct;
    }

    @Override
    public synchronized boolean peersTell(Topic topic) {
        return told.peersTell(steadyMillis.getAsLong());
    }

    private synchronized News await(Topic topic, long from, long untilMillis) throws InterruptedException {
        while (true) {
            long now = steadyMillis.getAsLong();
            if (!told.peersTell(now)) {
                return new News.Unknown();
            }
            Optional<String> ahead = told.ahead(topic, from, now);
            if (ahead.isPresent()) {
                return new News.At(ahead.get());
            }
            if (now >= untilMillis) {
                return new News.Nothing();
            }
            wait(Math.clamp(told.endOfTrust(now) - now, 1, untilMillis - now));
        }
    }

    private synchronized void distrust(String peer) {
        told.forget(peer);
    }

    // -- reading

    @Override
    public Result<Batch> newest(Topic topic) {
        return fromStore(topic, store.newest(topic));
    }

    @Override
    public Result<Read> read(Topic topic, long from, Duration wait) {
        try {
            return switch (await(topic, from, steadyMillis.getAsLong() + wait.toMillis())) {
                case News.Unknown ignored -> readStore(topic, from, wait);
                case News.Nothing ignored ->
                    byPeer(topic, Result.success(new Read.Records(new Batch(List.of(), from))));
                case News.At(String peer) -> fromPeer(peer, topic, from);
            };
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return store.read(topic, from, Duration.ZERO);
        }
    }

    @Override
    public Result<Read> history(Topic topic, long from) {
        Optional<String> peer = peerBeyond(topic, from);
        return peer.isPresent() ? fromPeer(peer.get(), topic, from) : readStore(topic, from, Duration.ZERO);
    }

    private synchronized Optional<String> peerBeyond(Topic topic, long from) {
        return told.anyBeyond(topic, from, steadyMillis.getAsLong());
    }

    /** A peer that does not give what it told of may have started again, or not know all that came before. */
    private Result<Read> fromPeer(String peer, Topic topic, long from) {
        Result<Batch> batch = peers.ask(peer, topic, from, within(peer));
        if (batch.toOptional().filter(one -> one.end() > from).isPresent()) {
            return byPeer(topic, batch.map(Read.Records::new));
        }
        LOG.info("event=news_not_given topic={} from={} peer={} next=store", topic, from, peer);
        distrust(peer);
        return readStore(topic, from, Duration.ZERO);
    }

    /**
     * How long a peer's answer may take. To an entry it must come while the peer's word counts: one that gives its answer piece by
     * piece over a full link would keep the entry from the store for ten seconds.
     */
    private synchronized Duration within(String peer) {
        return switch (role) {
            case Role.Agent ignored -> WHOLE_ANSWER;
            case Role.Entry ignored -> Duration.ofMillis(Math.max(1, told.trustLeft(peer, steadyMillis.getAsLong())));
        };
    }

    private Result<Read> readStore(Topic topic, long from, Duration wait) {
        return fromStore(topic, store.read(topic, from, ownHold(topic, wait)));
    }

    /**
     * How long the store may hold a read. The first one after others told is not held: what they knew is old by then, and with a
     * hold on top of that the age passes the time in which a manifest must be in force.
     */
    private synchronized Duration ownHold(Topic topic, Duration wait) {
        return topic == Topic.OPERATOR && !direct ? Duration.ZERO : wait;
    }

    private synchronized <T> Result<T> fromStore(Topic topic, Result<T> answer) {
        if (topic == Topic.OPERATOR) {
            boolean answers = answer instanceof Result.Success<T>;
            told.storeAnswers(answers);
            learnedFrom(answers);
        }
        return answer;
    }

    private synchronized Result<Read> byPeer(Topic topic, Result<Read> answer) {
        if (topic == Topic.OPERATOR) {
            learnedFrom(false);
        }
        return answer;
    }

    private void learnedFrom(boolean store) {
        if (direct != store) {
            LOG.info(
                    "event=operator_news_from source={} storeAnswers={}",
                    store ? "store" : "peers",
                    told.storeAnswers());
        }
        direct = store;
    }
}
