package org.micabarrow.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.micabarrow.limits.RateLimitUpdate;
import org.micabarrow.routing.EndpointSelector;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.EndpointLoad;
import org.micabarrow.routing.EndpointStart;
import org.micabarrow.settings.Common;
import org.micabarrow.steps.RepeatedTasks;
import org.micabarrow.views.View;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/** Asks agents again and again how their endpoints are, and gives the answers to the choice of endpoints. */
public final class LoadPoller {

    private static final Logger LOG = LoggerFactory.getLogger(LoadPoller.class);

    /** How often agents of the entry's region are asked, in milliseconds: about as often as they look themselves. */
    private static final long NEAR_MILLIS = 150;

    /** Every how many rounds agents of other regions are asked: bytes between regions are paid for. */
    private static final int FAR_ROUNDS = 3;

    /** After how many rounds without an endpoint to ask about there seems to be none. */
    private static final int MOST_ROUNDS_WITHOUT_ENDPOINTS = 3;

    private final Parts parts;
    private final DatagramChannel channel;
    private final LoadQuestions questions;

    /** The endpoints at each host; after one started again there are two for a while, until nothing waits at the former. */
    private volatile Map<String, List<EndpointStart>> endpointsByHost = Map.of();

    private final Map<EndpointStart, EndpointRegistration> asked = new HashMap<>();

    /** The stamp of the last answer from each host. */
    private final Map<String, Long> stamps = new ConcurrentHashMap<>();

    private final Rounds rounds = new Rounds(NEAR_MILLIS);
    private int round;
    private boolean askedBefore;
    private volatile boolean answersDue;

    /**
     * What a feed works with.
     *
     * @param place where the entry runs
     * @param self the host and port at which this entry is asked for records; its questions leave from this host, by which agents
     *     know it
     * @param regions the region of each data hall
     * @param peerPort the port at which agents are asked
     * @param view what is believed of the store
     * @param choice takes what agents tell
     * @param traffic the thread that owns the choice
     * @param steadyMillis a clock that never steps, in milliseconds
     * @param news what agents of the region are told of the store; empty while this entry is out of touch with it
     * @param heard learns what agents tell of the entry that reads the store for the region
     */
    public record Parts(
            Common.Place place,
            String self,
            Map<String, String> regions,
            int peerPort,
            Supplier<View> view,
            EndpointSelector choice,
            XnioIoThread traffic,
            LongSupplier steadyMillis,
            Supplier<Optional<StoreUpdate>> news,
            Consumer<StoreUpdate.Heard> heard) {

        /** Checks that nothing is missing. */
        public Parts {
            Objects.requireNonNull(place, "place is null");
            Objects.requireNonNull(self, "self is null");
            Objects.requireNonNull(regions, "regions is null");
            Objects.requireNonNull(view, "view is null");
            Objects.requireNonNull(choice, "choice is null");
            Objects.requireNonNull(traffic, "traffic is null");
            Objects.requireNonNull(steadyMillis, "steadyMillis is null");
            Objects.requireNonNull(news, "news is null");
            Objects.requireNonNull(heard, "heard is null");
        }
    }

    private LoadPoller(Parts parts, DatagramChannel channel) {
        this.parts = parts;
        this.channel = channel;
        this.questions = new LoadQuestions(parts.traffic(), parts.steadyMillis());
    }

    /**
     * Makes a feed that asks nothing yet.
     *
     * @param parts what it works with
     * @return the feed
     * @throws IOException if no port is free
     */
    public static LoadPoller open(Parts parts) throws IOException {
        InetSocketAddress anyPort =
                new InetSocketAddress(Addresses.parse(parts.self()).getAddress(), 0);
        return new LoadPoller(parts, DatagramChannel.open().bind(anyPort));
    }

    /**
     * Begins to ask.
     *
     * @param afterRound what to do after each round of questions that is on time, on the thread for traffic
     */
    public void start(Runnable afterRound) {
        Thread.ofPlatform().name("load-feed").daemon().start(this::receive);
        parts.traffic().execute(() -> askAll(afterRound));
    }

    /**
     * Whether agents have had time to tell what an entry that starts does not know: which endpoints leave or have named limits.
     *
     * @return true from the second round on, or when there seems to be nobody to ask
     */
    public boolean answersDue() {
        return answersDue;
    }

    // -- questions, on the thread for traffic

    private void askAll(Runnable afterRound) {
        RepeatedTasks.guarded("load-feed", () -> round(afterRound));
        parts.traffic().executeAfter(() -> askAll(afterRound), NEAR_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void round(Runnable afterRound) {
        boolean onTime = rounds.onTime(parts.steadyMillis().getAsLong());
        View view = parts.view().get();
        Map<String, List<EndpointRegistration>> hosts = askedByHost(view);
        // Before the questions: an answer may come at once.
        endpointsByHost = startsOf(hosts);
        stamps.keySet().retainAll(hosts.keySet());
        // Stamps before news: an answer that comes in between, while this process stands still, is no proof of what the
        // news tell.
        Map<String, Long> answered = Map.copyOf(stamps);
        Optional<StoreUpdate> news = parts.news().get();
        hosts.forEach((host, endpoints) -> {
            boolean near = near(endpoints.getFirst());
            if (near || round % FAR_ROUNDS == 0) {
                // Agents elsewhere hear it from entries of their region: bytes between regions are paid for.
                Told told = new Told(near, stamp(answered, host), near ? news : Optional.empty());
                ask(host, endpointsByHost.get(host), told);
            }
        });
        parts.choice().keepOnly(view.endpoints().values());
        answersDue = answersDue || askedBefore || round >= MOST_ROUNDS_WITHOUT_ENDPOINTS;
        askedBefore = !hosts.isEmpty();
        round++;
        if (onTime) {
            afterRound.run();
        }
    }

    /**
     * The endpoints to ask about: those of models that are listed, and those listed no more at which requests still wait, since
     * an endpoint that is not asked about would seem to have fallen silent.
     */
    private Map<String, List<EndpointRegistration>> askedByHost(View view) {
        asked.keySet().removeIf(start -> !parts.choice().awaits(start));
        view.endpoints().values().stream()
                .filter(endpoint -> isModel(view, endpoint))
                .forEach(endpoint -> asked.put(endpoint.start(), endpoint));
        return asked.values().stream().collect(Collectors.groupingBy(EndpointRegistration::instanceHost));
    }

    private static Map<String, List<EndpointStart>> startsOf(Map<String, List<EndpointRegistration>> hosts) {
        return hosts.entrySet().stream()
                .collect(Collectors.toUnmodifiableMap(
                        Map.Entry::getKey,
                        host -> host.getValue().stream()
                                .map(EndpointRegistration::start)
                                .toList()));
    }

    private static boolean isModel(View view, EndpointRegistration endpoint) {
        return view.manifest()
                .flatMap(manifest -> manifest.service(endpoint.service()))
                .filter(service -> service.model().isPresent())
                .isPresent();
    }

    private boolean near(EndpointRegistration endpoint) {
        return parts.place().region().equals(parts.regions().get(endpoint.dataHall()));
    }

    /**
     * Asks an endpoint's agent now; on the thread for traffic.
     *
     * @param endpoint the endpoint
     * @param then learns on the same thread, once, whether the agent answered in time
     */
    public void ask(EndpointRegistration endpoint, Consumer<Boolean> then) {
        String host = endpoint.instanceHost();
        boolean near = near(endpoint);
        OptionalLong stamp = stamp(stamps, host);
        Told told = new Told(near, stamp, near ? parts.news().get() : Optional.empty());
        int number = ask(host, endpointsByHost.getOrDefault(host, List.of(endpoint.start())), told);
        questions.await(number, then);
    }

    /** Asks the agent of some endpoints, which are all those at its host, and tells the question's number. */
    private int ask(String host, List<EndpointStart> endpoints, Told told) {
        int number = questions.next();
        // What waits at a start that is over is read by nobody.
        int ownPromptTokens = endpoints.stream()
                .map(parts.choice()::load)
                .filter(load -> !load.startedAgain())
                .mapToInt(EndpointLoad::ownPromptTokens)
                .sum();
        int unmet = parts.choice().unmet().lately(parts.steadyMillis().getAsLong());
        ByteBuffer question = LoadMessages.write(new LoadMessages.Question(
                parts.place().id(),
                ownPromptTokens,
                number,
                unmet,
                told.near(),
                told.news(),
                told.stamp(),
                limit(endpoints)));
        try {
            channel.send(question, new InetSocketAddress(host, parts.peerPort()));
        } catch (IOException e) {
            LOG.debug("event=load_question_not_sent host={} why=\"{}\"", host, e.toString());
        }
        return number;
    }

    /** What this entry heard of the limit of the endpoint at a host; of two starts of it the one that said something last. */
    private Optional<RateLimitUpdate> limit(List<EndpointStart> endpoints) {
        long now = parts.steadyMillis().getAsLong();
        return endpoints.stream()
                .map(start -> parts.choice().load(start).limit().word(now))
                .flatMap(Optional::stream)
                .min(Comparator.comparingInt(RateLimitUpdate::millisAgo));
    }

    /** What an agent is told of the store, with the stamp that it is newer than. */
    private record Told(boolean near, OptionalLong stamp, Optional<StoreUpdate> news) {}

    /** The stamp of the last answer from a host; empty before the first. */
    private static OptionalLong stamp(Map<String, Long> stamps, String host) {
        Long stamp = stamps.get(host);
        return stamp == null ? OptionalLong.empty() : OptionalLong.of(stamp);
    }

    // -- answers, on a thread of their own

    private void receive() {
        while (channel.isOpen()) {
            RepeatedTasks.guarded("load-feed", this::receiveOne);
        }
    }

    private void receiveOne() {
        try {
            LoadMessages.Received received = LoadMessages.receive(channel);
            String host = received.from().getAddress().getHostAddress();
            take(host, LoadMessages.answer(received.bytes()));
        } catch (IOException e) {
            LOG.warn("event=load_answer_lost why=\"{}\"", e.toString());
        }
    }

    private void take(String host, LoadMessages.Answer answer) {
        List<EndpointStart> endpoints = endpointsByHost.getOrDefault(host, List.of());
        stamps.put(host, answer.stampMillis());
        parts.traffic().execute(() -> tell(endpoints, answer));
    }

    /** Gives an answer to the choice first, so that what waits for it is decided on what it says. */
    private void tell(List<EndpointStart> endpoints, LoadMessages.Answer answer) {
        OptionalLong asked = questions.askedMillis(answer.number());
        if (asked.isEmpty()) {
            return;
        }
        long now = parts.steadyMillis().getAsLong();
        long delay = now - asked.getAsLong();
        answer.rank().ifPresent(rank -> parts.choice().entries().told(rank.entries(), now));
        for (EndpointStart start : endpoints) {
            EndpointLoad load = parts.choice().load(start);
            if (start.mayBe(answer.told().start())) {
                load.told(answer.told(), delay, now);
                answer.rank().ifPresent(load.limit()::ranked);
                answer.limit()
                        .filter(word -> word.isOf(start.id()))
                        .filter(word -> load.limit().told(word.news(asked.getAsLong(), now)))
                        .ifPresent(word -> load.limit().logChange("agent"));
            } else {
                toldOfAnotherStart(start, load);
            }
        }
        questions.answered(answer.number());
        // Counted from the question: the agent's word is at most that much older than it says.
        answer.reader()
                .ifPresent(reader -> parts.heard()
                        .accept(new StoreUpdate.Heard(
                                reader.peer(), reader.operator(), asked.getAsLong() - reader.knownMillisAgo())));
    }

    /**
     * The agent is ahead of the endpoint's entry, or behind it, for a moment. What it tells of one start must not count for
     * another: that may hold nothing of the version that it names.
     */
    private static void toldOfAnotherStart(EndpointStart start, EndpointLoad load) {
        if (!load.startedAgain()) {
            LOG.info(
                    "event=agent_tells_of_another_start endpoint={} listed={}",
                    start.id(),
                    start.startedMillis().orElse(-1));
        }
        load.toldOfAnotherStart();
    }
}
