package org.micabarrow.views;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.micabarrow.state.Result;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads topics only when others tell that there is news, and then from them; the store itself while nobody tells. Each process
 * that read the store by itself made a call of it every second, and each manifest crossed the link of its region once a process:
 * 30 processes, 40 KB and four changes a second are twice what a link of 18.9 Mbit/s carries, and entries fell behind by more than
 * the time in which a manifest must be in force. Now one entry of a region reads the store for the other entries; agents are told
 * by all entries nearby, and of what they act on only.
 */
public final class NewsReader implements TopicReader {

    private static final Logger LOG = LoggerFactory.getLogger(NewsReader.class);

    /**
     * How long what a peer told counts, in milliseconds: entries nearby tell some seven times in it, so that a few may be lost. A
     * peer that lost the store tells nothing.
     */
    private static final long TOLD_MILLIS = 1_000;

    /**
     * The same of what an entry is told of the region's reader, in milliseconds: agents tell some three times in it. They go on naming
     * a reader that ended for as long; the two together, and a read of the store, are to fit into two seconds.
     */
    private static final long READER_TOLD_MILLIS = 500;

    /**
     * How old what an entry knows may be for agents to go by it, in milliseconds: a weight version is to be in use within some eight
     * seconds, and its copy alone takes three to five.
     */
    private static final long AGENT_TRUST_MILLIS = 3_000;

    /** How long an answer to an agent may take, as long as it keeps coming: a large manifest over a narrow link. */
    private static final Duration WHOLE_ANSWER = Duration.ofSeconds(10);

    private final TopicReader store;
    private final Peers peers;
    private final Role role;
    private final LongSupplier steadyMillis;
    private final Map<String, Told> told = new HashMap<>();

    /** Up to where peers told of changes of operators that agents do not act on. */
    private long passedOverTo;

    /** Whether the store answered this process when it was last asked. */
    private boolean storeAnswers = true;

    /** Whether what this process knows of operators' records comes from the store itself. */
    private boolean direct;

    private record Told(LastChanges changes, long asOfMillis, long atMillis) {}

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
    public NewsReader(TopicReader store, Peers peers, Role role, LongSupplier steadyMillis) {
        this.store = Objects.requireNonNull(store, "store is null");
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.role = Objects.requireNonNull(role, "role is null");
        this.steadyMillis = Objects.requireNonNull(steadyMillis, "steadyMillis is null");
    }

    // -- what others tell

    /**
     * Takes note of what a peer in touch with the store tells.
     *
     * @param peer the host and port at which it can be asked for records
     * @param changes where the last changes stand that it knows of
     * @param asOfMillis the moment on the steady clock up to which it knows all that operators wrote
     */
    public synchronized void told(String peer, LastChanges changes, long asOfMillis) {
        Told before = told.put(peer, new Told(changes, asOfMillis, steadyMillis.getAsLong()));
        if (changes.operator() > changes.weights()) {
            passedOverTo = Math.max(passedOverTo, changes.operator());
        }
        if (before == null || !before.changes().equals(changes)) {
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
        return peersTell(steadyMillis.getAsLong());
    }

    private boolean peersTell(long now) {
        told.values().removeIf(one -> now - one.atMillis() >= toldMillis());
        return told.entrySet().stream().anyMatch(one -> counts(one.getKey(), one.getValue(), now));
    }

    private synchronized News await(Topic topic, long from, long untilMillis) throws InterruptedException {
        while (true) {
            long now = steadyMillis.getAsLong();
            if (!peersTell(now)) {
                return new News.Unknown();
            }
            Optional<String> ahead = ahead(topic, from, now);
            if (ahead.isPresent()) {
                return new News.At(ahead.get());
            }
            if (now >= untilMillis) {
                return new News.Nothing();
            }
            wait(Math.clamp(endOfTrust(now) - now, 1, untilMillis - now));
        }
    }

    private boolean counts(String peer, Told one, long now) {
        boolean known = now - one.asOfMillis() < trustMillis();
        return switch (role) {
            case Role.Agent ignored -> known;
            case Role.Entry entry -> known && (peer.compareTo(entry.self()) < 0 || !storeAnswers);
        };
    }

    /** When nobody's word counts any more, unless somebody tells again. */
    private long endOfTrust(long now) {
        return told.entrySet().stream()
                .filter(one -> counts(one.getKey(), one.getValue(), now))
                .mapToLong(one -> endOfTrust(one.getValue()))
                .max()
                .orElse(now);
    }

    private long endOfTrust(Told one) {
        return Math.min(one.atMillis() + toldMillis(), one.asOfMillis() + trustMillis());
    }

    private long toldMillis() {
        return switch (role) {
            case Role.Agent ignored -> TOLD_MILLIS;
            case Role.Entry ignored -> READER_TOLD_MILLIS;
        };
    }

    private long trustMillis() {
        return switch (role) {
            case Role.Agent ignored -> AGENT_TRUST_MILLIS;
            case Role.Entry entry -> entry.trustMillis();
        };
    }

    private Optional<String> ahead(Topic topic, long from, long now) {
        return told.entrySet().stream()
                .filter(one -> counts(one.getKey(), one.getValue(), now))
                .filter(one -> news(one.getValue().changes(), topic) > from)
                .max(Comparator.comparingLong(one -> news(one.getValue().changes(), topic)))
                .map(Map.Entry::getKey);
    }

    /** Where the last change stands that this process needs. */
    private long news(LastChanges changes, Topic topic) {
        return topic == Topic.OPERATOR && role instanceof Role.Agent ? changes.weights() : changes.of(topic);
    }

    private synchronized void distrust(String peer) {
        told.remove(peer);
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

    /** A peer that knows of a change beyond an offset, be it one that this process acts on or not. */
    private synchronized Optional<String> peerBeyond(Topic topic, long from) {
        long now = steadyMillis.getAsLong();
        return told.entrySet().stream()
                .filter(one -> counts(one.getKey(), one.getValue(), now))
                .filter(one -> one.getValue().changes().of(topic) > from)
                .map(Map.Entry::getKey)
                .findFirst();
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
            case Role.Entry ignored -> {
                Told one = told.get(peer);
                long left = one == null ? 0 : endOfTrust(one) - steadyMillis.getAsLong();
                yield Duration.ofMillis(Math.max(1, left));
            }
        };
    }

    private Result<Read> readStore(Topic topic, long from, Duration wait) {
        if (passedOver(topic, from)) {
            // One copy of the manifest instead of one of each version that was passed over.
            return fromStore(topic, store.newest(topic)).map(Read.Records::new);
        }
        return fromStore(topic, store.read(topic, from, ownHold(topic, wait)));
    }

    /**
     * How long the store may hold a read. The first one after others told is not held: what they knew is old by then, and with a
     * hold on top of that the age passes the time in which a manifest must be in force.
     */
    private synchronized Duration ownHold(Topic topic, Duration wait) {
        return topic == Topic.OPERATOR && !direct ? Duration.ZERO : wait;
    }

    /** Whether an agent was told of changes that it had no use for, and would read all of them now. */
    private synchronized boolean passedOver(Topic topic, long from) {
        return topic == Topic.OPERATOR && role instanceof Role.Agent && passedOverTo > from;
    }

    private synchronized <T> Result<T> fromStore(Topic topic, Result<T> answer) {
        if (topic == Topic.OPERATOR) {
            storeAnswers = answer instanceof Result.Success<T>;
            learnedFrom(storeAnswers);
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
            LOG.info("event=operator_news_from source={} storeAnswers={}", store ? "store" : "peers", storeAnswers);
        }
        direct = store;
    }
}
