package org.micabarrow.transport;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.micabarrow.limits.EntryRank;
import org.micabarrow.transport.LoadReply.ReaderUpdate;

/** The last query of each entry that queried an agent recently. Thread-safe. */
final class EntryQueries {

    /**
     * How long an entry's last query stays valid, in milliseconds: somewhat more than the longest interval between its
     * queries.
     */
    private static final long QUERY_VALID_MILLIS = 1_000;

    /**
     * How long an entry stays eligible as the region's reader after its last query, in milliseconds: three polling
     * rounds. When a reader ends, the other entries wait this long until another one is named.
     */
    private static final long READER_VALID_MILLIS = 450;

    private final long maxStoreAgeMillis;
    private final Map<String, EntryQuery> lastQueries = new HashMap<>();

    private final String agent;

    /** The rank of each entry; empty after an entry was added or removed, until the ranks are needed again. */
    private Map<String, EntryRank> ranks = Map.of();

    /** When the first query arrived. */
    private long firstQueryMillis = Long.MAX_VALUE;

    /**
     * Creates an empty record.
     *
     * @param maxStoreAgeMillis the age, in milliseconds, from which on other entries may not rely on what an entry
     *     knows of the store
     * @param agent the agent's name; each agent ranks entries in a different order that follows from its name
     */
    EntryQueries(long maxStoreAgeMillis, String agent) {
        this.agent = agent;
        this.maxStoreAgeMillis = maxStoreAgeMillis;
    }

    /**
     * An entry's last query.
     *
     * @param from the address that it came from
     * @param host the IP address in {@code from}
     * @param query the query
     * @param atMillis when it arrived, on the agent's monotonic clock
     * @param peer the host and port at which the entry serves records, if the query carries a store update
     * @param storeKnownAtMillis the time on the agent's monotonic clock up to which the entry knew everything that
     *     operators had written; empty if the query does not tell it
     * @param reader what the entry knows of the store, if it reads the store itself
     */
    record EntryQuery(
            InetSocketAddress from,
            String host,
            LoadQuery query,
            long atMillis,
            Optional<String> peer,
            OptionalLong storeKnownAtMillis,
            Optional<StoreReader> reader) {

        /**
         * Whether the query may have been sent long before it was read, for example while the agent was paused. What it
         * states of the present may have been followed by something else that the agent knows already.
         */
        boolean mayBeOutdated() {
            return query.replyTimestamp().isPresent()
                    && atMillis - query.replyTimestamp().getAsLong() > QUERY_VALID_MILLIS;
        }
    }

    /**
     * An entry that reads the store itself.
     *
     * @param peer the host and port at which it serves records
     * @param operatorOffset the offset after the last operator change that it knows of
     * @param knownAtMillis a lower bound, on the agent's monotonic clock, of the time at which it knew everything that
     *     operators had written
     */
    record StoreReader(String peer, long operatorOffset, long knownAtMillis) {

        private ReaderUpdate toUpdate(long nowMillis) {
            return new ReaderUpdate(peer, operatorOffset, nowMillis - knownAtMillis);
        }
    }

    /**
     * What the other entries reported.
     *
     * @param promptTokens the prompt tokens of their requests whose responses have not begun
     * @param reader the entry that reads the store for the region; empty if there is none, or if the receiver is that
     *     entry or in another region
     * @param rank the receiver's rank among all entries; empty until all have had time to send a query
     */
    record OtherEntries(int promptTokens, Optional<ReaderUpdate> reader, Optional<EntryRank> rank) {}

    /**
     * Records a query.
     *
     * @param from the address that it came from
     * @param query the query
     * @param nowMillis the time on the agent's monotonic clock
     * @return the query as recorded
     */
    synchronized EntryQuery add(InetSocketAddress from, LoadQuery query, long nowMillis) {
        EntryQuery previous = lastQueries.get(query.entry());
        String host = previous != null && previous.from().equals(from)
                ? previous.host()
                : from.getAddress().getHostAddress();
        Optional<String> peer = query.storeUpdate().map(update -> host + ":" + update.port());
        OptionalLong storeKnownAtMillis = storeKnownAt(query, nowMillis);
        EntryQuery recorded = new EntryQuery(
                from, host, query, nowMillis, peer, storeKnownAtMillis, reader(peer, query, storeKnownAtMillis));
        if (previous == null) {
            ranks = Map.of();
        }
        lastQueries.put(query.entry(), recorded);
        firstQueryMillis = Math.min(firstQueryMillis, nowMillis);
        return recorded;
    }

    /**
     * Returns the time up to which an entry knew everything that operators had written. The query may have been delayed
     * on its way, or while the agent was paused, but it was certainly sent after the reply whose timestamp it repeats,
     * so the age is counted from that timestamp. Without a timestamp the age is unknown.
     */
    private static OptionalLong storeKnownAt(LoadQuery query, long nowMillis) {
        boolean ageKnown =
                query.replyTimestamp().isPresent() && query.replyTimestamp().getAsLong() <= nowMillis;
        return query.storeUpdate().isPresent() && ageKnown
                ? OptionalLong.of(query.replyTimestamp().getAsLong()
                        - query.storeUpdate().get().knownMillisAgo())
                : OptionalLong.empty();
    }

    /** Returns what an entry knows of the store, if it reads the store itself and the age of its knowledge is known. */
    private static Optional<StoreReader> reader(
            Optional<String> peer, LoadQuery query, OptionalLong storeKnownAtMillis) {
        return query.storeUpdate()
                .filter(update -> update.direct() && storeKnownAtMillis.isPresent())
                .map(update -> new StoreReader(
                        peer.orElseThrow(), update.changes().operator(), storeKnownAtMillis.getAsLong()));
    }

    /**
     * The last queries of all entries that queried recently.
     *
     * @return a copy
     */
    synchronized List<EntryQuery> all() {
        return List.copyOf(lastQueries.values());
    }

    /**
     * What the entries other than the receiver reported, as far as it is still valid.
     *
     * <p>The reader is the entry that a receiver in the same region relies on instead of reading the store itself: of
     * those entries that read the store and whose knowledge is recent enough, the one whose address sorts first. All
     * agents name the same reader as long as they receive queries from the same entries. Where they differ for a
     * moment, one more entry reads the store, since an entry relies only on a reader whose address sorts before its
     * own.
     *
     * @param receiver the last query of the entry that is to be informed
     * @param nowMillis the time on the agent's monotonic clock
     * @return the sum of the prompt tokens, the reader and the receiver's rank
     */
    synchronized OtherEntries others(EntryQuery receiver, long nowMillis) {
        int promptTokens = 0;
        StoreReader firstReader = null;
        for (Iterator<EntryQuery> iterator = lastQueries.values().iterator(); iterator.hasNext(); ) {
            EntryQuery other = iterator.next();
            if (nowMillis - other.atMillis() > QUERY_VALID_MILLIS) {
                iterator.remove();
                ranks = Map.of();
                continue;
            }
            if (!other.query().entry().equals(receiver.query().entry())) {
                promptTokens += other.query().promptTokens();
            }
            if (receiver.query().sameRegion() && isValidReader(other, nowMillis)) {
                StoreReader reader = other.reader().orElseThrow();
                firstReader =
                        firstReader == null || reader.peer().compareTo(firstReader.peer()) < 0 ? reader : firstReader;
            }
        }
        return new OtherEntries(
                promptTokens,
                Optional.ofNullable(firstReader)
                        .filter(reader -> !receiver.peer().equals(Optional.of(reader.peer())))
                        .map(reader -> reader.toUpdate(nowMillis)),
                rank(receiver, nowMillis));
    }

    /** An entry that has sent no query recently has no rank. */
    private Optional<EntryRank> rank(EntryQuery receiver, long nowMillis) {
        if (nowMillis - firstQueryMillis < QUERY_VALID_MILLIS) {
            return Optional.empty();
        }
        if (ranks.isEmpty()) {
            ranks = EntryRank.ranks(lastQueries.keySet(), agent);
        }
        return Optional.ofNullable(ranks.get(receiver.query().entry()));
    }

    private boolean isValidReader(EntryQuery other, long nowMillis) {
        return other.reader().isPresent()
                && nowMillis - other.atMillis() <= READER_VALID_MILLIS
                && nowMillis - other.reader().get().knownAtMillis() < maxStoreAgeMillis;
    }
}
