package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.admission.ClassAllotment;
import org.micabarrow.admission.ClassDemand;
import org.micabarrow.admission.EntryDemand;
import org.micabarrow.admission.OrganisationUsage;
import org.micabarrow.admission.SlotGrants;
import org.micabarrow.limits.EntryRank;
import org.micabarrow.limits.RateLimitUpdate;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.transport.LoadReply.ReaderUpdate;
import org.micabarrow.views.ChangeOffsets;

/** The replies that an agent sends to entries, over real sockets. */
class LoadServerTest {

    /** Ends a test that hangs. */
    private static final int HANG_MILLIS = 10_000;

    private static final LoadReport IDLE = new LoadReport(0, 0, false, 1);

    private static void sendQuery(DatagramSocket entry, InetSocketAddress agent, int number) throws IOException {
        ByteBuffer query = LoadMessages.write(new LoadQuery("entry-a", 0, number, 0));
        entry.send(new DatagramPacket(query.array(), query.limit(), agent));
    }

    private static final Supplier<ClassAllotment.Pool> POOL = () -> new ClassAllotment.Pool(12, 1);

    @Test
    void shouldKeepReplyingWhenOneReplyFails() throws Exception {
        AtomicBoolean failed = new AtomicBoolean();
        Supplier<Optional<LoadReport>> endpoint = () -> {
            if (failed.compareAndSet(false, true)) {
                throw new IllegalStateException("a programming error");
            }
            return Optional.of(IDLE);
        };
        try (DatagramSocket entry = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            entry.setSoTimeout(HANG_MILLIS);
            InetSocketAddress agent = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
            LoadServer.start(
                    "127.0.0.1:" + agent.getPort(),
                    endpoint,
                    POOL,
                    () -> 0,
                    (peer, update, asOf) -> {},
                    MAX_STORE_AGE_MILLIS);
            sendQuery(entry, agent, 1);
            sendQuery(entry, agent, 2);
            DatagramPacket packet = new DatagramPacket(new byte[512], 512);
            entry.receive(packet);
            assertEquals(
                    2,
                    LoadMessages.readReply(Arrays.copyOf(packet.getData(), packet.getLength()))
                            .number());
        }
    }

    // -- classes

    @Test
    void shouldDivideSlotsByClassWhenEntryTellsDemand() throws Exception {
        try (DatagramSocket entry = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            entry.setSoTimeout(HANG_MILLIS);
            InetSocketAddress agent = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
            LoadReport twoFree = new LoadReport(10, 0, false, 1, 2);
            LoadServer.start(
                    "127.0.0.1:" + agent.getPort(),
                    () -> Optional.of(twoFree),
                    POOL,
                    () -> 0,
                    (peer, update, asOf) -> {},
                    MAX_STORE_AGE_MILLIS);
            EntryDemand demand = new EntryDemand(
                    List.of(new ClassDemand(0, 8, 0), new ClassDemand(4, 50, 3)),
                    List.of(new OrganisationUsage(17, 900)));
            LoadReply divided = exchange(entry, agent, Optional.of(demand));
            SlotGrants grants = divided.extension().orElseThrow().grants().orElseThrow();
            assertEquals(List.of(new OrganisationUsage(17, 900)), grants.organisations());
            assertEquals(0, grants.classes().getFirst().priority());
            LoadReply former = exchange(entry, agent, Optional.empty());
            assertEquals(Optional.empty(), former.extension().orElseThrow().grants(), "a former build tells no demand");
        }
    }

    private static LoadReply exchange(DatagramSocket entry, InetSocketAddress agent, Optional<EntryDemand> demand)
            throws IOException {
        ByteBuffer query = LoadMessages.write(new LoadQuery(
                "entry", 0, 1, 0, false, Optional.empty(), OptionalLong.empty(), Optional.empty(), demand));
        entry.send(new DatagramPacket(query.array(), query.limit(), agent));
        DatagramPacket packet = new DatagramPacket(new byte[512], 512);
        entry.receive(packet);
        return LoadMessages.readReply(Arrays.copyOf(packet.getData(), packet.getLength()));
    }

    // -- reader of the region

    /** An entry that sends queries from its own socket. */
    private record Entry(
            String name,
            int port,
            boolean sameRegion,
            boolean direct,
            DatagramSocket socket,
            AtomicReference<OptionalLong> replyTimestamp) {

        private static Entry of(String name, int port, boolean sameRegion, boolean direct) throws IOException {
            DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
            socket.setSoTimeout(HANG_MILLIS);
            return new Entry(name, port, sameRegion, direct, socket, new AtomicReference<>(OptionalLong.empty()));
        }

        /** Sends one query, so that later ones can repeat a timestamp of the agent. */
        private Entry withTimestamp(InetSocketAddress agent) throws IOException {
            reader(agent);
            return this;
        }

        /** Sends a query, and returns the entry that the agent names as the reader of the store. */
        private Optional<String> reader(InetSocketAddress agent) throws IOException {
            return reader(agent, 30);
        }

        /** Does the same for an entry that knew everything that operators had written at the given time ago. */
        private Optional<String> reader(InetSocketAddress agent, long knownMillisAgo) throws IOException {
            return send(query(knownMillisAgo), agent).map(ReaderUpdate::peer);
        }

        private ByteBuffer query(long knownMillisAgo) {
            StoreUpdate storeUpdate =
                    new StoreUpdate(port, new ChangeOffsets(17, 0), Optional.empty(), knownMillisAgo, direct);
            return LoadMessages.write(new LoadQuery(
                    name,
                    0,
                    0,
                    0,
                    sameRegion,
                    sameRegion ? Optional.of(storeUpdate) : Optional.empty(),
                    replyTimestamp.get()));
        }

        private Optional<ReaderUpdate> send(ByteBuffer query, InetSocketAddress agent) throws IOException {
            socket.send(new DatagramPacket(query.array(), query.limit(), agent));
            DatagramPacket packet = new DatagramPacket(new byte[512], 512);
            socket.receive(packet);
            LoadReply reply = LoadMessages.readReply(Arrays.copyOf(packet.getData(), packet.getLength()));
            replyTimestamp.set(OptionalLong.of(reply.timestampMillis()));
            return reply.reader();
        }
    }

    private static final long MAX_STORE_AGE_MILLIS = 1_500;

    private final AtomicLong now = new AtomicLong();

    /** The times up to which entries knew the store, as reported by the agent. */
    private final List<OptionalLong> storeKnownAt = new CopyOnWriteArrayList<>();

    private InetSocketAddress agent() throws IOException {
        InetSocketAddress agent = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
        LoadServer.start(
                "127.0.0.1:" + agent.getPort(),
                () -> Optional.of(IDLE),
                POOL,
                now::get,
                (peer, storeUpdate, asOf) -> storeKnownAt.add(asOf),
                MAX_STORE_AGE_MILLIS);
        return agent;
    }

    @Test
    void shouldNameFirstEntryThatReadsStoreToOthersOfRegion() throws Exception {
        InetSocketAddress agent = agent();
        Entry second = Entry.of("b", 8_002, true, true).withTimestamp(agent);
        Entry first = Entry.of("a", 8_001, true, true);
        Entry follower = Entry.of("c", 8_000, true, false);
        Entry otherRegion = Entry.of("d", 8_003, false, false);
        assertEquals(Optional.empty(), second.reader(agent));
        // It has no timestamp of the agent yet, so the age of its information is unknown.
        assertEquals(Optional.of("127.0.0.1:8002"), first.reader(agent));
        assertEquals(Optional.empty(), first.reader(agent));
        assertEquals(Optional.of("127.0.0.1:8001"), second.reader(agent));
        assertEquals(Optional.of("127.0.0.1:8001"), follower.reader(agent));
        assertEquals(Optional.empty(), otherRegion.reader(agent));
    }

    @Test
    void shouldNameNextEntryWhenFirstIsUnresponsive() throws Exception {
        InetSocketAddress agent = agent();
        Entry first = Entry.of("a", 8_001, true, true).withTimestamp(agent);
        Entry second = Entry.of("b", 8_002, true, true).withTimestamp(agent);
        Entry follower = Entry.of("c", 8_003, true, false);
        first.reader(agent);
        now.addAndGet(300);
        second.reader(agent);
        assertEquals(Optional.of("127.0.0.1:8001"), follower.reader(agent));
        now.addAndGet(300);
        assertEquals(Optional.of("127.0.0.1:8002"), follower.reader(agent));
    }

    private static int freePort() throws IOException {
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /**
     * A slow or resumed reader that still sends queries may have the address that sorts first, but nobody can rely on
     * what it knows.
     */
    @Test
    void shouldNameReaderWithRecentKnowledgeWhenFirstIsOutdated() throws Exception {
        InetSocketAddress agent = agent();
        Entry first = Entry.of("a", 8_001, true, true).withTimestamp(agent);
        Entry second = Entry.of("b", 8_002, true, true).withTimestamp(agent);
        Entry follower = Entry.of("c", 8_003, true, false);
        first.reader(agent, 10_000);
        second.reader(agent, 30);
        assertEquals(Optional.of("127.0.0.1:8002"), follower.reader(agent, 30));
    }

    /** A query that waited in the socket of a paused agent is as old as the reply that it repeats. */
    @Test
    void shouldCountAgeFromRepeatedReplyWhenQueryIsReadLate() throws Exception {
        now.set(50_000);
        InetSocketAddress agent = agent();
        Entry entry = Entry.of("a", 8_001, true, true);
        entry.reader(agent, 30);
        now.addAndGet(6_000);
        entry.reader(agent, 30);
        assertEquals(List.of(OptionalLong.empty(), OptionalLong.of(50_000 - 30)), storeKnownAt);
    }

    /**
     * The reader's query is delayed in a full link for two seconds. The age that it states must be increased by that
     * time, or else an entry assumes that it knows what was written meanwhile.
     */
    @Test
    void shouldNotUnderstateAgeWhenQueryOfReaderIsDelayed() throws Exception {
        InetSocketAddress agent = agent();
        Entry first = Entry.of("a", 8_001, true, true).withTimestamp(agent);
        Entry follower = Entry.of("c", 8_003, true, false);
        ByteBuffer late = first.query(0);
        now.addAndGet(2_000);
        first.send(late, agent);
        Optional<ReaderUpdate> update = follower.send(follower.query(30), agent);
        assertTrue(
                update.filter(reader -> now.get() - reader.knownMillisAgo() > 0).isEmpty(),
                "the reader knew of nothing after 0, and the agent reports at " + now.get() + ": " + update);
    }

    // -- rate limits

    private static LoadReply exchange(DatagramSocket entry, InetSocketAddress agent, LoadQuery query)
            throws IOException {
        ByteBuffer datagram = LoadMessages.write(query);
        entry.send(new DatagramPacket(datagram.array(), datagram.limit(), agent));
        DatagramPacket packet = new DatagramPacket(new byte[512], 512);
        entry.receive(packet);
        return LoadMessages.readReply(Arrays.copyOf(packet.getData(), packet.getLength()));
    }

    /** Queries wait in the socket of a paused agent; limits in them may have been lifted since. */
    @ParameterizedTest
    @CsvSource({"900, true", "6000, false"})
    void shouldRelayRateLimitOnlyWhenQueryIsRecent(long pauseMillis, boolean relayed) throws Exception {
        now.set(50_000);
        InetSocketAddress agent = agent();
        try (DatagramSocket entry = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            entry.setSoTimeout(HANG_MILLIS);
            long timestamp =
                    exchange(entry, agent, query("a", Optional.empty())).timestampMillis();
            now.addAndGet(pauseMillis);
            RateLimitUpdate rateLimit = new RateLimitUpdate(RateLimitUpdate.token("e"), OptionalDouble.of(2), 100);
            LoadQuery late = new LoadQuery(
                    "b", 0, 0, 0, false, Optional.empty(), OptionalLong.of(timestamp), Optional.of(rateLimit));
            assertEquals(relayed, exchange(entry, agent, late).rateLimit().isPresent());
        }
    }

    private static LoadQuery query(String entry, Optional<RateLimitUpdate> rateLimit) {
        return new LoadQuery(entry, 0, 0, 0, false, Optional.empty(), OptionalLong.empty(), rateLimit);
    }

    @Test
    void shouldPassOnRateLimitThatAnotherEntryReported() throws Exception {
        InetSocketAddress agent = agent();
        try (DatagramSocket entry = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            entry.setSoTimeout(HANG_MILLIS);
            assertEquals(
                    Optional.empty(),
                    exchange(entry, agent, query("a", Optional.empty())).rateLimit());
            RateLimitUpdate rateLimit =
                    new RateLimitUpdate(RateLimitUpdate.token("endpoint"), OptionalDouble.of(2), 100);
            exchange(entry, agent, query("b", Optional.of(rateLimit)));
            now.addAndGet(50);
            RateLimitUpdate older = new RateLimitUpdate(rateLimit.endpointToken(), rateLimit.perSecond(), 150);
            assertEquals(
                    Optional.of(older),
                    exchange(entry, agent, query("a", Optional.empty())).rateLimit());
        }
    }

    @Test
    void shouldRankEntriesWhenAllHadTimeToQuery() throws Exception {
        InetSocketAddress agent = agent();
        try (DatagramSocket entry = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            entry.setSoTimeout(HANG_MILLIS);
            assertEquals(
                    Optional.empty(),
                    exchange(entry, agent, query("a", Optional.empty())).rank());
            now.addAndGet(900);
            assertEquals(
                    Optional.empty(),
                    exchange(entry, agent, query("b", Optional.empty())).rank());
            now.addAndGet(100);
            EntryRank first =
                    exchange(entry, agent, query("a", Optional.empty())).rank().orElseThrow();
            EntryRank second =
                    exchange(entry, agent, query("b", Optional.empty())).rank().orElseThrow();
            assertEquals(Set.of(new EntryRank(0, 2), new EntryRank(1, 2)), Set.of(first, second));
            now.addAndGet(1_001);
            Optional<EntryRank> alone =
                    exchange(entry, agent, query("a", Optional.empty())).rank();
            assertEquals(Optional.of(new EntryRank(0, 1)), alone, "the other has sent no query for a second");
        }
    }
}
