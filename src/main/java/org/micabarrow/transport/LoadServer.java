package org.micabarrow.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.DatagramChannel;
import java.util.Comparator;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.micabarrow.admission.PlaceShares;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.steps.Steps;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tells entries how the endpoint beside an agent is, and what other entries have waiting there. */
public final class LoadServer {

    private static final Logger LOG = LoggerFactory.getLogger(LoadServer.class);

    /** How long what an entry said counts, in milliseconds: the longest pause between its questions, and some more. */
    private static final long SAID_MILLIS = 1_000;

    /**
     * How long an entry of the region counts as its reader after its last question, in milliseconds: three of its rounds. The others
     * wait that long for one that ended.
     */
    private static final long READER_SAID_MILLIS = 450;

    private final DatagramChannel channel;
    private final Supplier<Optional<LoadReport>> endpoint;
    private final LongSupplier steadyMillis;
    private final BiConsumer<String, StoreNews> news;
    private final long trustMillis;
    private final Map<String, Said> entries = new ConcurrentHashMap<>();
    private final PlaceShares shares = new PlaceShares(RandomGenerator.of("L64X128MixRandom"));

    private record Said(InetSocketAddress from, LoadMessages.Question question, long atMillis) {

        private String host() {
            return from.getAddress().getHostAddress();
        }

        private boolean isAt(String peer) {
            return question.news().filter(news -> peer.equals(peer(news))).isPresent();
        }

        private String peer(StoreNews news) {
            return host() + ":" + news.port();
        }

        /**
         * What it knows of the store, if it reads that itself. Its question may have been long on its way; that it was sent after the
         * answer whose stamp it repeats is certain, so the age is counted from there. Without a stamp nothing is certain.
         */
        private Optional<ReaderNews> reads(long nowMillis) {
            if (question.stamp().isEmpty() || question.stamp().getAsLong() > nowMillis) {
                return Optional.empty();
            }
            long sentMillisAgo = nowMillis - question.stamp().getAsLong();
            return question.news()
                    .filter(StoreNews::direct)
                    .map(news -> new ReaderNews(
                            peer(news), news.changes().operator(), news.knownMillisAgo() + sentMillisAgo));
        }
    }

    private LoadServer(
            DatagramChannel channel,
            Supplier<Optional<LoadReport>> endpoint,
            LongSupplier steadyMillis,
            BiConsumer<String, StoreNews> news,
            long trustMillis) {
        this.channel = channel;
        this.endpoint = endpoint;
        this.steadyMillis = steadyMillis;
        this.news = news;
        this.trustMillis = trustMillis;
    }

    /**
     * Answers questions on a thread of its own.
     *
     * @param address the host and port
     * @param endpoint what is known of the endpoint, with all its free places; empty while it does not answer
     * @param steadyMillis a clock that never steps, in milliseconds
     * @param news learns what entries tell of the store, and where they can be asked for records
     * @param trustMillis how old what an entry knows of the store may be, in milliseconds, for others to go by it
     * @return the running server
     * @throws IOException if the address cannot be used
     */
    public static LoadServer start(
            String address,
            Supplier<Optional<LoadReport>> endpoint,
            LongSupplier steadyMillis,
            BiConsumer<String, StoreNews> news,
            long trustMillis)
            throws IOException {
        Objects.requireNonNull(endpoint, "endpoint is null");
        Objects.requireNonNull(steadyMillis, "steadyMillis is null");
        Objects.requireNonNull(news, "news is null");
        DatagramChannel channel = DatagramChannel.open().bind(Addresses.parse(address));
        LoadServer server = new LoadServer(channel, endpoint, steadyMillis, news, trustMillis);
        Thread.ofPlatform().name("load-server").daemon().start(server::serve);
        return server;
    }

    /** Tells all entries that asked lately how the endpoint is, before they ask again. */
    public void tellAll() {
        entries.forEach((entry, said) -> {
            try {
                tell(said);
            } catch (IOException e) {
                LOG.warn("event=load_not_told entry={} why=\"{}\"", entry, e.toString());
            }
        });
    }

    private void serve() {
        while (channel.isOpen()) {
            Steps.guarded("load-server", this::serveOne);
        }
    }

    private void serveOne() {
        try {
            LoadMessages.Received received = LoadMessages.receive(channel);
            LoadMessages.Question question = LoadMessages.question(received.bytes());
            String host = received.from().getAddress().getHostAddress();
            question.news().ifPresent(told -> news.accept(host + ":" + told.port(), told));
            answer(received.from(), question);
        } catch (IOException e) {
            LOG.warn("event=load_question_lost why=\"{}\"", e.toString());
        }
    }

    private void answer(InetSocketAddress from, LoadMessages.Question question) throws IOException {
        long now = steadyMillis.getAsLong();
        Said said = new Said(from, question, now);
        entries.put(question.entry(), said);
        entries.values().removeIf(one -> now - one.atMillis() > SAID_MILLIS);
        tell(said);
    }

    private void tell(Said said) throws IOException {
        Optional<LoadReport> told = endpoint.get();
        if (told.isPresent()) {
            tell(said, told.get(), share(said.question(), told.get()));
        }
    }

    private int share(LoadMessages.Question question, LoadReport told) {
        if (told.places() == LoadReport.ANY_PLACES) {
            return LoadReport.ANY_PLACES;
        }
        synchronized (shares) {
            return shares.deal(question.entry(), question.unmet(), told.places(), steadyMillis.getAsLong());
        }
    }

    private void tell(Said said, LoadReport told, int places) throws IOException {
        int others = entries.entrySet().stream()
                .filter(one -> !one.getKey().equals(said.question().entry()))
                .mapToInt(one -> one.getValue().question().promptTokens())
                .sum();
        LoadMessages.Answer answer = new LoadMessages.Answer(
                said.question().number(), told.to(others, places), readerFor(said), steadyMillis.getAsLong());
        channel.send(LoadMessages.write(answer), said.from());
    }

    // -- the reader of the region

    /**
     * The entry by which another entry nearby is to go, instead of reading the store: the first by its address of those that read
     * it themselves, and know it lately enough for others to go by. All agents name the same one while they hear of the same entries; where they differ for a moment, one more
     * reads the store, since an entry goes only by one whose address comes before its own.
     */
    private Optional<ReaderNews> readerFor(Said asker) {
        if (!asker.question().near()) {
            return Optional.empty();
        }
        long now = steadyMillis.getAsLong();
        return entries.values().stream()
                .filter(one -> now - one.atMillis() <= READER_SAID_MILLIS)
                .flatMap(one -> one.reads(now).stream())
                .filter(reader -> reader.knownMillisAgo() < trustMillis)
                .min(Comparator.comparing(ReaderNews::peer))
                .filter(reader -> !asker.isAt(reader.peer()));
    }
}
