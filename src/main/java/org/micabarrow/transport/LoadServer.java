package org.micabarrow.transport;

import java.io.IOException;
import java.nio.channels.DatagramChannel;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.micabarrow.admission.SlotAllotment;
import org.micabarrow.limits.RateLimitRelay;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.steps.RepeatedTasks;
import org.micabarrow.transport.EntriesHeard.Heard;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tells entries how the endpoint beside an agent is, and what other entries have waiting there. */
public final class LoadServer {

    private static final Logger LOG = LoggerFactory.getLogger(LoadServer.class);

    private final DatagramChannel channel;
    private final Supplier<Optional<LoadReport>> endpoint;
    private final LongSupplier steadyMillis;
    private final BiConsumer<String, StoreUpdate> news;
    private final EntriesHeard entries;
    private final RateLimitRelay limits = new RateLimitRelay();
    private final SlotAllotment shares = new SlotAllotment(RandomGenerator.of("L64X128MixRandom"));

    private LoadServer(
            DatagramChannel channel,
            String address,
            Supplier<Optional<LoadReport>> endpoint,
            LongSupplier steadyMillis,
            BiConsumer<String, StoreUpdate> news,
            long trustMillis) {
        this.channel = channel;
        this.endpoint = endpoint;
        this.steadyMillis = steadyMillis;
        this.news = news;
        this.entries = new EntriesHeard(trustMillis, address);
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
            BiConsumer<String, StoreUpdate> news,
            long trustMillis)
            throws IOException {
        Objects.requireNonNull(endpoint, "endpoint is null");
        Objects.requireNonNull(steadyMillis, "steadyMillis is null");
        Objects.requireNonNull(news, "news is null");
        DatagramChannel channel = DatagramChannel.open().bind(Addresses.parse(address));
        LoadServer server = new LoadServer(channel, address, endpoint, steadyMillis, news, trustMillis);
        Thread.ofPlatform().name("load-server").daemon().start(server::serve);
        return server;
    }

    /**
     * What is passed on between entries of the endpoint's limit.
     *
     * @return the relay, which may be told what the endpoint reports
     */
    public RateLimitRelay limits() {
        return limits;
    }

    /** Tells all entries that asked lately how the endpoint is, before they ask again. */
    public void tellAll() {
        for (Heard heard : entries.all()) {
            try {
                tell(heard);
            } catch (IOException e) {
                LOG.warn(
                        "event=load_not_told entry={} why=\"{}\"",
                        heard.question().entry(),
                        e.toString());
            }
        }
    }

    private void serve() {
        while (channel.isOpen()) {
            RepeatedTasks.guarded("load-server", this::serveOne);
        }
    }

    private void serveOne() {
        try {
            LoadMessages.Received received = LoadMessages.receive(channel);
            Heard heard =
                    entries.hear(received.from(), LoadMessages.question(received.bytes()), steadyMillis.getAsLong());
            heard.question().limit().ifPresent(word -> limits.told(word, heard.atMillis()));
            heard.question().news().ifPresent(told -> news.accept(heard.peer().orElseThrow(), told));
            tell(heard);
        } catch (IOException e) {
            LOG.warn("event=load_question_lost why=\"{}\"", e.toString());
        }
    }

    private void tell(Heard heard) throws IOException {
        Optional<LoadReport> told = endpoint.get();
        if (told.isPresent()) {
            tell(heard, told.get(), share(heard.question(), told.get()));
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

    private void tell(Heard heard, LoadReport told, int places) throws IOException {
        long now = steadyMillis.getAsLong();
        EntriesHeard.Others others = entries.others(heard, now);
        LoadMessages.Answer answer = new LoadMessages.Answer(
                heard.question().number(),
                told.to(others.promptTokens(), places),
                others.reader(),
                now,
                others.rank(),
                limits.word(now));
        channel.send(LoadMessages.write(answer), heard.from());
    }
}
