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
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.micabarrow.admission.EntryDemand;
import org.micabarrow.admission.SlotGrants;
import org.micabarrow.limits.RateLimitUpdate;
import org.micabarrow.routing.EndpointLoad;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.EndpointSelector;
import org.micabarrow.routing.EndpointStart;
import org.micabarrow.settings.Common;
import org.micabarrow.steps.RepeatedTasks;
import org.micabarrow.views.View;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/** Polls agents for the load of their endpoints, and passes the replies to the endpoint selector. */
public final class LoadPoller {

    private static final Logger LOG = LoggerFactory.getLogger(LoadPoller.class);

    /**
     * How often agents of the entry's region are polled, in milliseconds: about as often as they poll their endpoints.
     */
    private static final long ROUND_MILLIS = 150;

    private final Dependencies dependencies;
    private final DatagramChannel channel;
    private final LoadQueries queries;
    private final LoadReplyHandler replyHandler;

    private final PolledHosts hosts;
    private final QuerySchedule schedule;
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();

    /** Replies that the traffic thread has not applied yet. */
    private final Queue<Accepted> accepted = new ConcurrentLinkedQueue<>();

    private final AtomicBoolean applyScheduled = new AtomicBoolean();
    private final LongAdder sentQueries = new LongAdder();
    private final LongAdder receivedReplies = new LongAdder();

    /** The timestamp of the last reply from each host. */
    private final Map<String, Long> replyTimestamps = new ConcurrentHashMap<>();

    /** The hosts whose agents read appended fields. */
    private final Set<String> extensibleHosts = ConcurrentHashMap.newKeySet();

    private final PauseDetector pauseDetector = new PauseDetector(ROUND_MILLIS);
    private final FirstReplies firstReplies = new FirstReplies();
    private int roundNumber;
    private volatile boolean firstRepliesComplete;

    /**
     * What a poller needs.
     *
     * @param place where the entry runs
     * @param self the host and port at which this entry serves records; its queries are sent from this host, by which
     *     agents identify it
     * @param regions the region of each data hall
     * @param peerPort the port at which agents receive queries
     * @param view the current view of the store
     * @param selector receives what agents report
     * @param traffic the thread that owns the selector, called the traffic thread
     * @param monotonicMillis a monotonic clock, in milliseconds
     * @param storeUpdate what agents of the region are informed of about the store; empty while this entry has no
     *     contact with the store
     * @param onReader receives what agents report about the entry that reads the store for the region
     * @param demand the demand of the entry's clients, which agents divide their slots by; called on the traffic thread
     * @param onGrants receives what agents grant; called on the traffic thread
     */
    public record Dependencies(
            Common.Place place,
            String self,
            Map<String, String> regions,
            int peerPort,
            Supplier<View> view,
            EndpointSelector selector,
            XnioIoThread traffic,
            LongSupplier monotonicMillis,
            Supplier<Optional<StoreUpdate>> storeUpdate,
            Consumer<StoreUpdate.ReaderState> onReader,
            Supplier<EntryDemand> demand,
            Consumer<SlotGrants> onGrants) {

        /** Checks that no component is null. */
        public Dependencies {
            Objects.requireNonNull(place, "place is null");
            Objects.requireNonNull(self, "self is null");
            Objects.requireNonNull(regions, "regions is null");
            Objects.requireNonNull(view, "view is null");
            Objects.requireNonNull(selector, "selector is null");
            Objects.requireNonNull(traffic, "traffic is null");
            Objects.requireNonNull(monotonicMillis, "monotonicMillis is null");
            Objects.requireNonNull(storeUpdate, "storeUpdate is null");
            Objects.requireNonNull(onReader, "onReader is null");
            Objects.requireNonNull(demand, "demand is null");
            Objects.requireNonNull(onGrants, "onGrants is null");
        }
    }

    private LoadPoller(Dependencies dependencies, DatagramChannel channel) {
        this.dependencies = dependencies;
        this.channel = channel;
        this.queries = new LoadQueries(dependencies.traffic(), dependencies.monotonicMillis());
        this.replyHandler = new LoadReplyHandler(dependencies, queries);
        this.schedule = new QuerySchedule(dependencies.place().id());
        this.hosts = new PolledHosts(dependencies.selector()::hasRequestsInFlight, this::isSameRegion);
    }

    /**
     * Creates a poller that sends no queries yet.
     *
     * @param dependencies what it needs
     * @return the poller
     * @throws IOException if no port is free
     */
    public static LoadPoller open(Dependencies dependencies) throws IOException {
        InetSocketAddress anyPort =
                new InetSocketAddress(Addresses.parse(dependencies.self()).getAddress(), 0);
        return new LoadPoller(dependencies, DatagramChannel.open().bind(anyPort));
    }

    /**
     * Starts polling.
     *
     * @param afterRound run on the traffic thread after each round of queries that began on time
     */
    public void start(Runnable afterRound) {
        Thread.ofPlatform().name("load-feed").daemon().start(this::receive);
        dependencies.traffic().execute(() -> pollAndReschedule(afterRound));
    }

    /**
     * Whether agents have reported what a starting entry does not know: which endpoints are draining or have set rate
     * limits.
     *
     * @return true once all agents that were queried first have replied or had time to, or if there seem to be no
     *     agents to query
     */
    public boolean hasFirstReplies() {
        return firstRepliesComplete;
    }

    /**
     * The queries sent so far.
     *
     * @return their number
     */
    public long sentQueries() {
        return sentQueries.sum();
    }

    /**
     * The replies received so far, unsolicited ones included.
     *
     * @return their number
     */
    public long receivedReplies() {
        return receivedReplies.sum();
    }

    // -- queries, on the traffic thread

    private void pollAndReschedule(Runnable afterRound) {
        RepeatedTasks.runGuarded("load-feed", () -> poll(afterRound));
        dependencies.traffic().executeAfter(() -> pollAndReschedule(afterRound), ROUND_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void poll(Runnable afterRound) {
        boolean onTime = pauseDetector.onTime(dependencies.monotonicMillis().getAsLong());
        View view = dependencies.view().get();
        updateHosts(view);
        // The timestamps are read before the store update: a reply that arrived in between, while this process was
        // paused, would make the update appear newer than it is.
        Map<String, Long> timestamps = Map.copyOf(replyTimestamps);
        Optional<StoreUpdate> storeUpdate = dependencies.storeUpdate().get();
        List<QuerySchedule.Host> due = schedule.due(hosts.all(), hosts::hasRequestsInFlight, roundNumber);
        due.forEach(host -> {
            // Agents of other regions get store updates from entries of their own region, since traffic between
            // regions is paid for.
            StoreStatus storeStatus = new StoreStatus(
                    host.sameRegion(),
                    lastTimestamp(timestamps, host.address()),
                    host.sameRegion() ? storeUpdate : Optional.empty());
            sendQuery(host.address(), hosts.endpointsAt(host.address()), storeStatus);
        });
        dependencies.selector().retainOnly(view.endpoints().values());
        firstReplies.roundBegins(due.stream().map(QuerySchedule.Host::address).toList());
        firstRepliesComplete = firstReplies.areComplete();
        roundNumber++;
        if (onTime) {
            afterRound.run();
        }
    }

    private void updateHosts(View view) {
        if (!hosts.update(view)) {
            return;
        }
        replyTimestamps.keySet().retainAll(hosts.addresses());
        extensibleHosts.retainAll(hosts.addresses());
        addresses.keySet().retainAll(hosts.addresses());
        schedule.update(hosts.all());
        dependencies.selector().setUnqueried(hosts.startsAt(host -> !schedule.isChosen(host)));
    }

    private boolean isSameRegion(EndpointRegistration endpoint) {
        return dependencies.place().region().equals(dependencies.regions().get(endpoint.dataHall()));
    }

    /**
     * Queries an endpoint's agent immediately; to be called on the traffic thread.
     *
     * @param endpoint the endpoint
     * @param callback called on the same thread, once, with whether the agent replied in time
     */
    public void query(EndpointRegistration endpoint, Consumer<Boolean> callback) {
        String host = endpoint.instanceHost();
        boolean sameRegion = isSameRegion(endpoint);
        OptionalLong replyTimestamp = lastTimestamp(replyTimestamps, host);
        StoreStatus storeStatus = new StoreStatus(
                sameRegion,
                replyTimestamp,
                sameRegion ? dependencies.storeUpdate().get() : Optional.empty());
        List<EndpointStart> endpoints = hosts.endpointsAt(host);
        int number = sendQuery(host, endpoints.isEmpty() ? List.of(endpoint.start()) : endpoints, storeStatus);
        queries.await(number, callback);
    }

    /**
     * Sends a query to the agent of the given endpoints, which are all those at its host, and returns the query's
     * number.
     */
    private int sendQuery(String host, List<EndpointStart> endpoints, StoreStatus storeStatus) {
        int number = queries.nextNumber();
        // Prompts sent to a former start of the endpoint are no longer processed.
        int ownPromptTokens = endpoints.stream()
                .map(dependencies.selector()::load)
                .filter(load -> !load.restarted())
                .mapToInt(EndpointLoad::ownPendingPromptTokens)
                .sum();
        int unmetRequests = dependencies
                .selector()
                .unmetDemand()
                .recent(dependencies.monotonicMillis().getAsLong());
        ByteBuffer datagram = LoadMessages.write(new LoadQuery(
                dependencies.place().id(),
                ownPromptTokens,
                number,
                unmetRequests,
                storeStatus.sameRegion(),
                storeStatus.storeUpdate(),
                storeStatus.replyTimestamp(),
                rateLimit(endpoints),
                extensibleHosts.contains(host)
                        ? Optional.of(dependencies.demand().get())
                        : Optional.empty()));
        try {
            channel.send(
                    datagram,
                    addresses.computeIfAbsent(host, to -> new InetSocketAddress(to, dependencies.peerPort())));
            sentQueries.increment();
        } catch (IOException e) {
            LOG.debug("event=load_question_not_sent host={} why=\"{}\"", host, e.toString());
        }
        return number;
    }

    /**
     * What this entry knows of the rate limit of the endpoint at a host. If the endpoint has two starts, the most
     * recent information is used.
     */
    private Optional<RateLimitUpdate> rateLimit(List<EndpointStart> endpoints) {
        long now = dependencies.monotonicMillis().getAsLong();
        return endpoints.stream()
                .map(start -> dependencies.selector().load(start).rateLimit().ownUpdate(now))
                .flatMap(Optional::stream)
                .min(Comparator.comparingInt(RateLimitUpdate::ageMillis));
    }

    /** A reply, the host from which it came, and the endpoints there. */
    private record Accepted(String host, List<EndpointStart> endpoints, LoadReply reply) {}

    /** What a query reports about the store, with the timestamp of the reply that precedes it. */
    private record StoreStatus(boolean sameRegion, OptionalLong replyTimestamp, Optional<StoreUpdate> storeUpdate) {}

    /** The timestamp of the last reply from a host; empty before the first. */
    private static OptionalLong lastTimestamp(Map<String, Long> timestamps, String host) {
        Long timestamp = timestamps.get(host);
        return timestamp == null ? OptionalLong.empty() : OptionalLong.of(timestamp);
    }

    // -- replies, on a separate thread

    private void receive() {
        while (channel.isOpen()) {
            RepeatedTasks.runGuarded("load-feed", this::receiveOne);
        }
    }

    private void receiveOne() {
        try {
            ReceivedDatagram received = ReceivedDatagram.receive(channel);
            String host = received.from().getAddress().getHostAddress();
            accept(host, LoadMessages.readReply(received.bytes()));
        } catch (IOException e) {
            LOG.warn("event=load_answer_lost why=\"{}\"", e.toString());
        }
    }

    private void accept(String host, LoadReply reply) {
        receivedReplies.increment();
        List<EndpointStart> endpoints = hosts.endpointsAt(host);
        replyTimestamps.put(host, reply.timestampMillis());
        if (reply.extension().isPresent()) {
            extensibleHosts.add(host);
        } else {
            extensibleHosts.remove(host);
        }
        accepted.add(new Accepted(host, endpoints, reply));
        // The replies of a round arrive together, and each task would wake the traffic thread.
        if (applyScheduled.compareAndSet(false, true)) {
            dependencies.traffic().execute(this::applyAccepted);
        }
    }

    private void applyAccepted() {
        applyScheduled.set(false);
        for (Accepted next = accepted.poll(); next != null; next = accepted.poll()) {
            Accepted reply = next;
            RepeatedTasks.runGuarded("load-feed", () -> replyHandler.apply(reply.endpoints(), reply.reply()));
            firstReplies.replied(reply.host());
        }
        firstRepliesComplete = firstReplies.areComplete();
    }
}
