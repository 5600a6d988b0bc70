package org.micabarrow.transport;

import java.io.IOException;
import java.nio.channels.DatagramChannel;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.micabarrow.admission.ClassAllotment;
import org.micabarrow.limits.RateLimitRelay;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.steps.RepeatedTasks;
import org.micabarrow.transport.EntryQueries.EntryQuery;
import org.micabarrow.transport.LoadReply.ReplyExtension;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reports to entries the load of the endpoint next to an agent, including what other entries have in flight there. */
public final class LoadServer {

    private static final Logger LOG = LoggerFactory.getLogger(LoadServer.class);

    private final DatagramChannel channel;
    private final Supplier<Optional<LoadReport>> endpoint;
    private final Supplier<ClassAllotment.Pool> pool;
    private final LongSupplier monotonicMillis;
    private final StoreUpdateListener onStoreUpdate;
    private final EntryQueries entries;
    private final RateLimitRelay limitRelay = new RateLimitRelay();
    private final ClassAllotment slotAllotment = new ClassAllotment(RandomGenerator.of("L64X128MixRandom"));
    private final LongAdder receivedQueries = new LongAdder();
    private final LongAdder sentReplies = new LongAdder();

    /** Receives what entries report about the store. */
    @FunctionalInterface
    public interface StoreUpdateListener {

        /**
         * Handles a store update.
         *
         * @param peer the host and port at which the entry serves records
         * @param update the update
         * @param asOfMillis the time on the agent's monotonic clock up to which the entry knew everything that
         *     operators had written; empty if the update does not tell it
         */
        void onUpdate(String peer, StoreUpdate update, OptionalLong asOfMillis);
    }

    private LoadServer(
            DatagramChannel channel,
            String address,
            Supplier<Optional<LoadReport>> endpoint,
            Supplier<ClassAllotment.Pool> pool,
            LongSupplier monotonicMillis,
            StoreUpdateListener onStoreUpdate,
            long maxStoreAgeMillis) {
        this.channel = channel;
        this.endpoint = endpoint;
        this.pool = pool;
        this.monotonicMillis = monotonicMillis;
        this.onStoreUpdate = onStoreUpdate;
        this.entries = new EntryQueries(maxStoreAgeMillis, address);
    }

    /**
     * Starts a server that answers queries on a separate thread.
     *
     * @param address the host and port
     * @param endpoint what is known of the endpoint, with all its free slots; empty while it does not respond
     * @param pool the endpoints of the same service
     * @param monotonicMillis a monotonic clock, in milliseconds
     * @param onStoreUpdate receives the store updates of entries
     * @param maxStoreAgeMillis the age, in milliseconds, from which on other entries may not rely on what an entry
     *     knows of the store
     * @return the running server
     * @throws IOException if the address cannot be used
     */
    public static LoadServer start(
            String address,
            Supplier<Optional<LoadReport>> endpoint,
            Supplier<ClassAllotment.Pool> pool,
            LongSupplier monotonicMillis,
            StoreUpdateListener onStoreUpdate,
            long maxStoreAgeMillis)
            throws IOException {
        Objects.requireNonNull(endpoint, "endpoint is null");
        Objects.requireNonNull(pool, "pool is null");
        Objects.requireNonNull(monotonicMillis, "monotonicMillis is null");
        Objects.requireNonNull(onStoreUpdate, "onStoreUpdate is null");
        DatagramChannel channel = DatagramChannel.open().bind(Addresses.parse(address));
        LoadServer server =
                new LoadServer(channel, address, endpoint, pool, monotonicMillis, onStoreUpdate, maxStoreAgeMillis);
        Thread.ofPlatform().name("load-server").daemon().start(server::serve);
        return server;
    }

    /**
     * The relay that passes the endpoint's rate limit on between entries.
     *
     * @return the relay, which can also be given what the endpoint itself reports
     */
    public RateLimitRelay limitRelay() {
        return limitRelay;
    }

    /**
     * The queries received so far.
     *
     * @return their number
     */
    public long receivedQueries() {
        return receivedQueries.sum();
    }

    /**
     * The replies sent so far, unsolicited ones included.
     *
     * @return their number
     */
    public long sentReplies() {
        return sentReplies.sum();
    }

    /** Sends the endpoint's load to all entries that queried recently, without waiting for their next queries. */
    public void sendToAll() {
        for (EntryQuery entryQuery : entries.all()) {
            try {
                sendReply(entryQuery);
            } catch (IOException e) {
                LOG.warn(
                        "event=load_not_told entry={} why=\"{}\"",
                        entryQuery.query().entry(),
                        e.toString());
            }
        }
    }

    private void serve() {
        while (channel.isOpen()) {
            RepeatedTasks.runGuarded("load-server", this::serveOne);
        }
    }

    private void serveOne() {
        try {
            ReceivedDatagram received = ReceivedDatagram.receive(channel);
            receivedQueries.increment();
            EntryQuery entryQuery =
                    entries.add(received.from(), LoadMessages.readQuery(received.bytes()), monotonicMillis.getAsLong());
            entryQuery
                    .query()
                    .rateLimit()
                    .filter(rateLimit -> !entryQuery.mayBeOutdated())
                    .ifPresent(rateLimit -> limitRelay.received(rateLimit, entryQuery.atMillis()));
            entryQuery
                    .query()
                    .storeUpdate()
                    .ifPresent(update -> onStoreUpdate.onUpdate(
                            entryQuery.peer().orElseThrow(), update, entryQuery.storeKnownAtMillis()));
            sendReply(entryQuery);
        } catch (IOException e) {
            LOG.warn("event=load_question_lost why=\"{}\"", e.toString());
        }
    }

    private void sendReply(EntryQuery entryQuery) throws IOException {
        Optional<LoadReport> report = endpoint.get();
        if (report.isPresent()) {
            sendReply(entryQuery, report.get(), allotment(entryQuery.query(), report.get()));
        }
    }

    private ClassAllotment.Allotment allotment(LoadQuery query, LoadReport report) {
        if (report.allottedSlots() == LoadReport.UNLIMITED_SLOTS) {
            return new ClassAllotment.Allotment(LoadReport.UNLIMITED_SLOTS, Optional.empty());
        }
        synchronized (slotAllotment) {
            return slotAllotment.allot(
                    query.entry(),
                    query.unmetRequests(),
                    query.demand(),
                    report.allottedSlots(),
                    pool,
                    monotonicMillis.getAsLong());
        }
    }

    private void sendReply(EntryQuery entryQuery, LoadReport report, ClassAllotment.Allotment allotment)
            throws IOException {
        long now = monotonicMillis.getAsLong();
        EntryQueries.OtherEntries others = entries.others(entryQuery, now);
        LoadReply reply = new LoadReply(
                entryQuery.query().number(),
                report.forEntry(others.promptTokens(), allotment.slots()),
                others.reader(),
                now,
                others.rank(),
                limitRelay.update(now),
                Optional.of(new ReplyExtension(allotment.grants())));
        // An entry appends fields as soon as it knows that the agent reads them; a former build appends none.
        boolean readsAppendedFields = entryQuery.query().demand().isPresent();
        channel.send(
                LoadMessages.write(readsAppendedFields ? reply : reply.withoutAppendedFields()), entryQuery.from());
        sentReplies.increment();
    }
}
