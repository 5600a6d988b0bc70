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
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.micabarrow.limits.EntryRank;
import org.micabarrow.limits.RateLimitUpdate;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.transport.LoadMessages.ReaderNews;
import org.micabarrow.views.ChangeOffsets;

/** What an agent answers to entries, over real sockets. */
class LoadServerTest {

    /** Decides nothing but a hang. */
    private static final int HANG_MILLIS = 10_000;

    private static final LoadReport RESTING = new LoadReport(0, 0, false, 1);

    private static void ask(DatagramSocket entry, InetSocketAddress agent, int number) throws IOException {
        ByteBuffer question = LoadMessages.write(new LoadMessages.Question("entry-a", 0, number, 0));
        entry.send(new DatagramPacket(question.array(), question.limit(), agent));
    }

    @Test
    void shouldAnswerOnWhenOneAnswerFails() throws Exception {
        AtomicBoolean failed = new AtomicBoolean();
        Supplier<Optional<LoadReport>> endpoint = () -> {
            if (failed.compareAndSet(false, true)) {
                throw new IllegalStateException("a fault of the program");
            }
            return Optional.of(RESTING);
        };
        try (DatagramSocket entry = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            entry.setSoTimeout(HANG_MILLIS);
            InetSocketAddress agent = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
            LoadServer.start("127.0.0.1:" + agent.getPort(), endpoint, () -> 0, (peer, changes) -> {}, TRUST_MILLIS);
            ask(entry, agent, 1);
            ask(entry, agent, 2);
            DatagramPacket answer = new DatagramPacket(new byte[512], 512);
            entry.receive(answer);
            assertEquals(
                    2,
                    LoadMessages.answer(Arrays.copyOf(answer.getData(), answer.getLength()))
                            .number());
        }
    }

    // -- the reader of the region

    /** An entry that asks, with a socket of its own. */
    private record Entry(
            String name,
            int port,
            boolean near,
            boolean direct,
            DatagramSocket socket,
            AtomicReference<OptionalLong> stamp) {

        private static Entry of(String name, int port, boolean near, boolean direct) throws IOException {
            DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
            socket.setSoTimeout(HANG_MILLIS);
            return new Entry(name, port, near, direct, socket, new AtomicReference<>(OptionalLong.empty()));
        }

        /** Asks once, so that later questions can repeat a stamp of the agent. */
        private Entry met(InetSocketAddress agent) throws IOException {
            reader(agent);
            return this;
        }

        /** Asks, and tells which entry the agent names as the one that reads the store. */
        private Optional<String> reader(InetSocketAddress agent) throws IOException {
            return reader(agent, 30);
        }

        /** The same of an entry that knew all that operators wrote so long ago. */
        private Optional<String> reader(InetSocketAddress agent, long knownMillisAgo) throws IOException {
            return send(question(knownMillisAgo), agent).map(ReaderNews::peer);
        }

        private ByteBuffer question(long knownMillisAgo) {
            StoreUpdate news = new StoreUpdate(port, new ChangeOffsets(17, 0), Optional.empty(), knownMillisAgo, direct);
            return LoadMessages.write(new LoadMessages.Question(
                    name, 0, 0, 0, near, near ? Optional.of(news) : Optional.empty(), stamp.get()));
        }

        private Optional<ReaderNews> send(ByteBuffer question, InetSocketAddress agent) throws IOException {
            socket.send(new DatagramPacket(question.array(), question.limit(), agent));
            DatagramPacket answer = new DatagramPacket(new byte[512], 512);
            socket.receive(answer);
            LoadMessages.Answer read = LoadMessages.answer(Arrays.copyOf(answer.getData(), answer.getLength()));
            stamp.set(OptionalLong.of(read.stampMillis()));
            return read.reader();
        }
    }

    private static final long TRUST_MILLIS = 1_500;

    private final AtomicLong now = new AtomicLong();

    private InetSocketAddress agent() throws IOException {
        InetSocketAddress agent = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
        LoadServer.start(
                "127.0.0.1:" + agent.getPort(), () -> Optional.of(RESTING), now::get, (peer, news) -> {}, TRUST_MILLIS);
        return agent;
    }

    @Test
    void shouldNameFirstEntryThatReadsStoreItselfToOthersOfRegion() throws Exception {
        InetSocketAddress agent = agent();
        Entry second = Entry.of("b", 8_002, true, true).met(agent);
        Entry first = Entry.of("a", 8_001, true, true);
        Entry led = Entry.of("c", 8_000, true, false);
        Entry far = Entry.of("d", 8_003, false, false);
        assertEquals(Optional.empty(), second.reader(agent));
        // It has no stamp of the agent yet, so that nobody knows how old its word is.
        assertEquals(Optional.of("127.0.0.1:8002"), first.reader(agent));
        assertEquals(Optional.empty(), first.reader(agent));
        assertEquals(Optional.of("127.0.0.1:8001"), second.reader(agent));
        assertEquals(Optional.of("127.0.0.1:8001"), led.reader(agent));
        assertEquals(Optional.empty(), far.reader(agent));
    }

    @Test
    void shouldNameNextEntryWhenFirstFellSilent() throws Exception {
        InetSocketAddress agent = agent();
        Entry first = Entry.of("a", 8_001, true, true).met(agent);
        Entry second = Entry.of("b", 8_002, true, true).met(agent);
        Entry led = Entry.of("c", 8_003, true, false);
        first.reader(agent);
        now.addAndGet(300);
        second.reader(agent);
        assertEquals(Optional.of("127.0.0.1:8001"), led.reader(agent));
        now.addAndGet(300);
        assertEquals(Optional.of("127.0.0.1:8002"), led.reader(agent));
    }

    private static int freePort() throws IOException {
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /** A slow or resumed reader that still asks is the first by its address, and nobody can go by what it knows. */
    @Test
    void shouldNameReaderThatKnowsLatelyWhenFirstKnowsOfLongAgoOnly() throws Exception {
        InetSocketAddress agent = agent();
        Entry first = Entry.of("a", 8_001, true, true).met(agent);
        Entry second = Entry.of("b", 8_002, true, true).met(agent);
        Entry led = Entry.of("c", 8_003, true, false);
        first.reader(agent, 10_000);
        second.reader(agent, 30);
        assertEquals(Optional.of("127.0.0.1:8002"), led.reader(agent, 30));
    }

    /**
     * The reader's question lay in a full link for two seconds: what it says of its knowledge is older by that, or else an entry
     * takes itself to know what was written meanwhile.
     */
    @Test
    void shouldNotMakeKnowledgeYoungerWhenQuestionOfReaderComesLate() throws Exception {
        InetSocketAddress agent = agent();
        Entry first = Entry.of("a", 8_001, true, true).met(agent);
        Entry led = Entry.of("c", 8_003, true, false);
        ByteBuffer late = first.question(0);
        now.addAndGet(2_000);
        first.send(late, agent);
        Optional<ReaderNews> told = led.send(led.question(30), agent);
        assertTrue(
                told.filter(reader -> now.get() - reader.knownMillisAgo() > 0).isEmpty(),
                "the reader knew of nothing after 0, and the agent tells at " + now.get() + ": " + told);
    }

    // -- limits

    private static LoadMessages.Answer ask(
            DatagramSocket entry, InetSocketAddress agent, LoadMessages.Question question) throws IOException {
        ByteBuffer datagram = LoadMessages.write(question);
        entry.send(new DatagramPacket(datagram.array(), datagram.limit(), agent));
        DatagramPacket answer = new DatagramPacket(new byte[512], 512);
        entry.receive(answer);
        return LoadMessages.answer(Arrays.copyOf(answer.getData(), answer.getLength()));
    }

    private static LoadMessages.Question question(String entry, Optional<RateLimitUpdate> limit) {
        return new LoadMessages.Question(entry, 0, 0, 0, false, Optional.empty(), OptionalLong.empty(), limit);
    }

    @Test
    void shouldPassOnWhatAnotherEntryHeardOfLimit() throws Exception {
        InetSocketAddress agent = agent();
        try (DatagramSocket entry = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            entry.setSoTimeout(HANG_MILLIS);
            assertEquals(
                    Optional.empty(),
                    ask(entry, agent, question("a", Optional.empty())).limit());
            RateLimitUpdate word = new RateLimitUpdate(RateLimitUpdate.token("endpoint"), OptionalDouble.of(2), 100);
            ask(entry, agent, question("b", Optional.of(word)));
            now.addAndGet(50);
            RateLimitUpdate older = new RateLimitUpdate(word.endpoint(), word.perSecond(), 150);
            assertEquals(
                    Optional.of(older),
                    ask(entry, agent, question("a", Optional.empty())).limit());
        }
    }

    @Test
    void shouldRankEntriesOnceAllHadTimeToAsk() throws Exception {
        InetSocketAddress agent = agent();
        try (DatagramSocket entry = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            entry.setSoTimeout(HANG_MILLIS);
            assertEquals(
                    Optional.empty(),
                    ask(entry, agent, question("a", Optional.empty())).rank());
            now.addAndGet(900);
            assertEquals(
                    Optional.empty(),
                    ask(entry, agent, question("b", Optional.empty())).rank());
            now.addAndGet(100);
            EntryRank first =
                    ask(entry, agent, question("a", Optional.empty())).rank().orElseThrow();
            EntryRank second =
                    ask(entry, agent, question("b", Optional.empty())).rank().orElseThrow();
            assertEquals(Set.of(new EntryRank(0, 2), new EntryRank(1, 2)), Set.of(first, second));
            now.addAndGet(1_001);
            Optional<EntryRank> alone =
                    ask(entry, agent, question("a", Optional.empty())).rank();
            assertEquals(Optional.of(new EntryRank(0, 1)), alone, "the other has not asked for a second");
        }
    }
}
