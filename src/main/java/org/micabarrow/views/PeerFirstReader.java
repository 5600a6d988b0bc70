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
 * Reads topics from peers when they announce updates, and from the store itself when no peer announces anything. A
 * process that reads the store directly calls it every second, and each manifest is transferred over the link of its
 * region once per process: 30 processes, 40 KB and four changes a second amount to twice the capacity of a link of 18.9
 * Mbit/s, and entries fall behind by more than the time within which a manifest must be active. So one entry of each
 * region reads the store on behalf of the others. Agents are notified by all nearby entries, and only of the records
 * that they use.
 */
public final class PeerFirstReader implements TopicReader {

    private static final Logger LOG = LoggerFactory.getLogger(PeerFirstReader.class);

    /** How long a response to an agent may take while data keeps arriving: a large manifest over a slow link. */
    private static final Duration AGENT_RESPONSE_TIMEOUT = Duration.ofSeconds(10);

    private final TopicReader store;
    private final PeerSource peers;
    private final Role role;
    private final LongSupplier monotonicMillis;
    private final PeerUpdates updates;

    /** Whether the operator records known to this process come from the store itself. */
    private boolean readsStore;

    /** Requests records from peers. */
    @FunctionalInterface
    public interface PeerSource {

        /**
         * Requests the latest records of a topic at or after an offset from a peer.
         *
         * @param peer the peer's host and port
         * @param topic the topic
         * @param from the offset
         * @param timeout how long the whole response may take
         * @return the records, and the offset to continue from
         */
        Result<Batch> read(String peer, Topic topic, long from, Duration timeout);
    }

    /** Determines which peers a process relies on, and for which records. */
    public sealed interface Role {

        /** Agents need only the records that they use, and rely on any nearby entry. */
        record Agent() implements Role {}

        /**
         * Entries need all operator records. An entry relies on an entry whose address sorts before its own, so that no
         * two entries wait for each other, or on any entry while the store does not respond.
         *
         * @param self the address at which this entry serves records to peers
         * @param maxAgeMillis the maximum age of a peer's knowledge, in milliseconds; beyond it this process reads the
         *     store
         */
        record Entry(String self, long maxAgeMillis) implements Role {

            /** Validates the address. */
            public Entry {
                Objects.requireNonNull(self, "self is null");
            }
        }
    }

    /** What is available to read. */
    private sealed interface Availability {

        /** No peer has sent a recent update. */
        record NoUpdates() implements Availability {}

        /** The peers know nothing newer. */
        record NothingNewer() implements Availability {}

        /** A peer has newer records. */
        record AvailableAt(String peer) implements Availability {}
    }

    /**
     * Creates a reader that has received no updates yet.
     *
     * @param store reads the store
     * @param peers requests records from the peers that sent updates
     * @param role determines the peers to rely on
     * @param monotonicMillis a monotonic clock, in milliseconds
     */
    public PeerFirstReader(TopicReader store, PeerSource peers, Role role, LongSupplier monotonicMillis) {
        this.store = Objects.requireNonNull(store, "store is null");
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.role = Objects.requireNonNull(role, "role is null");
        this.monotonicMillis = Objects.requireNonNull(monotonicMillis, "monotonicMillis is null");
        this.updates = new PeerUpdates(role);
    }

    // -- updates from peers

    /**
     * Handles an update from a peer that is connected to the store.
     *
     * @param peer the host and port at which the peer serves records
     * @param changes the offsets of the last changes that the peer knows
     * @param asOfMillis the time on the monotonic clock up to which the peer knows all operator records
     */
    public synchronized void onUpdate(String peer, ChangeOffsets changes, long asOfMillis) {
        if (updates.add(peer, changes, asOfMillis, monotonicMillis.getAsLong())) {
            notifyAll();
        }
    }

    /**
     * Whether the operator records known to this process come from the store itself, so that other processes may rely
     * on it.
     *
     * @return false before the first read, while the process relies on a peer, and while the store does not respond
     */
    public synchronized boolean readsStoreDirectly() {
        return readsStore;
    }

    @Override
    public synchronized boolean hasPeerUpdates(Topic topic) {
        return updates.hasValidUpdate(topic, monotonicMillis.getAsLong());
    }

    private synchronized Availability awaitNewer(Topic topic, long from, long untilMillis) throws InterruptedException {
        updates.requireEra(topic, EraOffset.era(from));
        while (true) {
            long now = monotonicMillis.getAsLong();
            if (!updates.hasValidUpdate(topic, now)) {
                return new Availability.NoUpdates();
            }
            Optional<String> newerPeer = updates.newestPeer(topic, from, now);
            if (newerPeer.isPresent()) {
                return new Availability.AvailableAt(newerPeer.get());
            }
            if (now >= untilMillis) {
                return new Availability.NothingNewer();
            }
            wait(Math.clamp(updates.lastExpiryMillis(topic, now) - now, 1, untilMillis - now));
        }
    }

    private synchronized void ignore(String peer) {
        updates.remove(peer);
    }

    // -- reading

    @Override
    public Result<Batch> readLatest(Topic topic) {
        return recordStoreResult(topic, store.readLatest(topic));
    }

    @Override
    public Result<Read> read(Topic topic, long from, Duration wait) {
        try {
            return switch (awaitNewer(topic, from, monotonicMillis.getAsLong() + wait.toMillis())) {
                case Availability.NoUpdates ignored -> readStore(topic, from, wait);
                case Availability.NothingNewer ignored ->
                    recordPeerResult(topic, Result.success(new Read.Records(new Batch(List.of(), from))));
                case Availability.AvailableAt(String peer) -> readPeer(peer, topic, from);
            };
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return store.read(topic, from, Duration.ZERO);
        }
    }

    @Override
    public Result<Read> readHistory(Topic topic, long from) {
        Optional<String> peer = peerBeyond(topic, from);
        return peer.isPresent() ? readPeer(peer.get(), topic, from) : readStore(topic, from, Duration.ZERO);
    }

    private synchronized Optional<String> peerBeyond(Topic topic, long from) {
        return updates.anyPeerBeyond(topic, from, monotonicMillis.getAsLong());
    }

    /**
     * Reads from a peer, or from the store if the peer does not return the records that it announced: it may have
     * restarted, or lack earlier records.
     */
    private Result<Read> readPeer(String peer, Topic topic, long from) {
        Result<Batch> batch = peers.read(peer, topic, from, responseTimeout(peer));
        if (batch.toOptional().filter(received -> received.end() > from).isPresent()) {
            return recordPeerResult(topic, batch.map(Read.Records::new));
        }
        LOG.info("event=news_not_given topic={} {} peer={} next=store", topic, EraOffset.toLog(from), peer);
        ignore(peer);
        return readStore(topic, from, Duration.ZERO);
    }

    /**
     * Returns how long a peer's response may take. For an entry, it must end while the peer's update is valid: a
     * response that arrives slowly over a saturated link would otherwise keep the entry from reading the store for ten
     * seconds.
     */
    private synchronized Duration responseTimeout(String peer) {
        return switch (role) {
            case Role.Agent ignored -> AGENT_RESPONSE_TIMEOUT;
            case Role.Entry ignored ->
                Duration.ofMillis(Math.max(1, updates.remainingMillis(peer, monotonicMillis.getAsLong())));
        };
    }

    private Result<Read> readStore(Topic topic, long from, Duration wait) {
        return recordStoreResult(topic, store.read(topic, from, storeHold(topic, wait)));
    }

    /**
     * Returns how long the store may hold a read. The first read after relying on peers is not held: the peers'
     * knowledge is old by then, and adding a hold would exceed the time within which a manifest must be active.
     */
    private synchronized Duration storeHold(Topic topic, Duration wait) {
        return topic == Topic.OPERATOR && !readsStore ? Duration.ZERO : wait;
    }

    private synchronized <T> Result<T> recordStoreResult(Topic topic, Result<T> result) {
        if (topic == Topic.OPERATOR) {
            boolean responded = result instanceof Result.Success<T>;
            updates.setStoreResponds(responded);
            setSource(responded);
        }
        return result;
    }

    private synchronized Result<Read> recordPeerResult(Topic topic, Result<Read> result) {
        if (topic == Topic.OPERATOR) {
            setSource(false);
        }
        return result;
    }

    private void setSource(boolean fromStore) {
        if (readsStore != fromStore) {
            LOG.info(
                    "event=operator_news_from source={} storeAnswers={}",
                    fromStore ? "store" : "peers",
                    updates.storeResponds());
        }
        readsStore = fromStore;
    }
}
