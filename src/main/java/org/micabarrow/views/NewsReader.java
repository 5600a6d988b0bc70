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
 * Reads topics only when others tell that there is news, and then from them; the store itself while nobody tells. Most processes
 * of a large fleet are agents, and each that followed the store by itself made a call of it every second, and decoded every
 * entry of every endpoint.
 */
public final class NewsReader implements TopicReader {

    private static final Logger LOG = LoggerFactory.getLogger(NewsReader.class);

    /**
     * How long what a peer told counts, in milliseconds: entries nearby tell some seven times in it, so that a few may be lost. A
     * peer that lost the store tells nothing.
     */
    private static final long TOLD_MILLIS = 1_000;

    private final TopicReader store;
    private final Peers peers;
    private final LongSupplier steadyMillis;
    private final Map<String, Told> told = new HashMap<>();

    private record Told(LastChanges changes, long atMillis) {}

    /** Asks peers for records. */
    @FunctionalInterface
    public interface Peers {

        /**
         * Asks a peer for the newest records of a topic at or after an offset.
         *
         * @param peer the peer's host and port
         * @param topic the topic
         * @param from the offset
         * @return the records, and where to read on
         */
        Result<Batch> ask(String peer, Topic topic, long from);
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
     * @param steadyMillis a clock that never steps, in milliseconds
     */
    public NewsReader(TopicReader store, Peers peers, LongSupplier steadyMillis) {
        this.store = Objects.requireNonNull(store, "store is null");
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.steadyMillis = Objects.requireNonNull(steadyMillis, "steadyMillis is null");
    }

    // -- what others tell

    /**
     * Takes note of what a peer in touch with the store tells.
     *
     * @param peer the host and port at which it can be asked for records
     * @param changes where the last changes stand that it knows of
     */
    public synchronized void told(String peer, LastChanges changes) {
        Told before = told.put(peer, new Told(changes, steadyMillis.getAsLong()));
        if (before == null || !before.changes().equals(changes)) {
            notifyAll();
        }
    }

    private synchronized News await(Topic topic, long from, long untilMillis) throws InterruptedException {
        while (true) {
            long now = steadyMillis.getAsLong();
            told.values().removeIf(one -> now - one.atMillis() >= TOLD_MILLIS);
            if (told.isEmpty()) {
                return new News.Unknown();
            }
            Optional<String> ahead = ahead(topic, from);
            if (ahead.isPresent()) {
                return new News.At(ahead.get());
            }
            if (now >= untilMillis) {
                return new News.Nothing();
            }
            long newest = told.values().stream().mapToLong(Told::atMillis).max().orElse(now);
            wait(Math.min(untilMillis - now, TOLD_MILLIS - (now - newest)));
        }
    }

    private Optional<String> ahead(Topic topic, long from) {
        return told.entrySet().stream()
                .filter(one -> one.getValue().changes().of(topic) > from)
                .max(Comparator.comparingLong(one -> one.getValue().changes().of(topic)))
                .map(Map.Entry::getKey);
    }

    private synchronized void distrust(String peer) {
        told.remove(peer);
    }

    // -- reading

    @Override
    public Result<Batch> newest(Topic topic) {
        return store.newest(topic);
    }

    @Override
    public Result<Read> read(Topic topic, long from, Duration wait) {
        try {
            return switch (await(topic, from, steadyMillis.getAsLong() + wait.toMillis())) {
                case News.Unknown ignored -> store.read(topic, from, wait);
                case News.Nothing ignored -> Result.success(new Read.Records(new Batch(List.of(), from)));
                case News.At(String peer) -> fromPeer(peer, topic, from);
            };
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return store.read(topic, from, Duration.ZERO);
        }
    }

    /** A peer that does not give what it told of may have started again, or not know all that came before. */
    private Result<Read> fromPeer(String peer, Topic topic, long from) {
        Result<Batch> batch = peers.ask(peer, topic, from);
        if (batch.toOptional().filter(one -> one.end() > from).isPresent()) {
            return batch.map(Read.Records::new);
        }
        LOG.info("event=news_not_given topic={} from={} peer={} next=store", topic, from, peer);
        distrust(peer);
        return store.read(topic, from, Duration.ZERO);
    }
}
