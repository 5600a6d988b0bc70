package org.micabarrow.transport.grpc;

import com.codahale.metrics.MetricRegistry;
import io.grpc.ConnectivityState;
import io.grpc.ManagedChannel;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.micabarrow.coordination.calls.AgentCalls;
import org.micabarrow.coordination.calls.AgentRequest;
import org.micabarrow.coordination.calls.AnswerListener;
import org.micabarrow.coordination.claims.Claim;
import org.micabarrow.coordination.claims.Ledger;
import org.micabarrow.coordination.configuration.ConfigurationReader;
import org.micabarrow.coordination.log.PlatformLog;
import org.micabarrow.coordination.membership.PeerView;
import org.micabarrow.coordination.weights.Weights;
import org.micabarrow.protocol.AnswerMessages;
import org.micabarrow.protocol.RequestMessages;
import org.micabarrow.protocol.wire.ChunksRequest;
import org.micabarrow.protocol.wire.PeerGrpc;
import org.micabarrow.protocol.wire.RecordsReply;
import org.micabarrow.protocol.wire.RecordsRequest;
import org.micabarrow.protocol.wire.SettleReply;
import org.micabarrow.protocol.wire.SettleRequest;
import org.micabarrow.protocol.wire.StatusReply;
import org.micabarrow.protocol.wire.StatusRequest;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Replica;
import org.micabarrow.state.Result;

/** Calls other processes of the system over gRPC, and keeps one connection to each. */
public final class PeerClient implements AgentCalls, ConfigurationReader.Peers, AutoCloseable {

    /** How long a peer may take for a call that it answers from memory. */
    private static final Duration CALL_WITHIN = Duration.ofSeconds(1);

    /** How much longer than the request's deadline an attempt may take, so that the agent's own answer arrives. */
    private static final Duration ANSWER_SLACK = Duration.ofSeconds(1);

    private final String self;
    private final InstantSource clock;
    private final Function<String, ManagedChannel> connect;
    private final Supplier<List<String>> known;
    private final MetricRegistry metrics;
    private final Map<String, ManagedChannel> channels = new ConcurrentHashMap<>();
    private volatile BiConsumer<String, PeerView.Load> loads = (instance, load) -> {};

    /**
     * Makes a client.
     *
     * @param self this instance's name
     * @param clock tells when a load was heard
     * @param connect opens a channel to an address
     * @param known the peers to ask for a folded state
     * @param metrics counts parts of answers that belong to another attempt
     */
    public PeerClient(
            String self,
            InstantSource clock,
            Function<String, ManagedChannel> connect,
            Supplier<List<String>> known,
            MetricRegistry metrics) {
        this.self = Objects.requireNonNull(self, "self is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.connect = Objects.requireNonNull(connect, "connect is null");
        this.known = Objects.requireNonNull(known, "known is null");
        this.metrics = Objects.requireNonNull(metrics, "metrics is null");
    }

    private PeerGrpc.PeerStub stub(String address) {
        ManagedChannel channel = channels.computeIfAbsent(address, connect);
        if (channel.getState(false) == ConnectivityState.TRANSIENT_FAILURE) {
            // An instance that comes back at its old address is not to wait until a long back-off has passed.
            channel.resetConnectBackoff();
        }
        return PeerGrpc.newStub(channel);
    }

    /**
     * Registers a listener for the loads that agents tell with their answers.
     *
     * @param listener receives the instance and its load
     */
    public void onLoad(BiConsumer<String, PeerView.Load> listener) {
        loads = Objects.requireNonNull(listener, "listener is null");
    }

    // -- requests

    @Override
    public Runnable handle(Replica to, AgentRequest request, AnswerListener listener) {
        AnswerReceiver receiver = new AnswerReceiver(
                to, request.attempt(), listener, load -> loads.accept(to.instance(), load), clock, metrics);
        long millis = Math.max(1, request.remainingMillis()) + ANSWER_SLACK.toMillis();
        stub(to.address())
                .withDeadlineAfter(millis, TimeUnit.MILLISECONDS)
                .handle(RequestMessages.toWire(request), receiver);
        return receiver::cancel;
    }

    @Override
    public CompletableFuture<Result<Optional<Ledger.Settled>>> settle(Replica to, Claim claim) {
        SettleRequest request = SettleRequest.newBuilder()
                .setClaim(RequestMessages.toWire(claim))
                .build();
        SingleReply<SettleRequest, SettleReply> reply = new SingleReply<>(Step.CLAIM, to.instance());
        within(to.address(), CALL_WITHIN).settle(request, reply);
        return reply.result().thenApply(result -> result.map(AnswerMessages::fromWire));
    }

    // -- status and records

    /**
     * Asks a process for its status.
     *
     * @param address the process
     * @param generation this process's generation
     * @return its status
     */
    public CompletableFuture<Result<StatusReply>> status(String address, long generation) {
        StatusRequest request = StatusRequest.newBuilder()
                .setGeneration(generation)
                .setSender(self)
                .build();
        SingleReply<StatusRequest, StatusReply> reply = new SingleReply<>(Step.STATUS, address);
        within(address, CALL_WITHIN).status(request, reply);
        return reply.result();
    }

    @Override
    public Result<PlatformLog.Page> records(String address, long from, Duration wait) {
        RecordsRequest request = RecordsRequest.newBuilder()
                .setFrom(from)
                .setSender(self)
                .setWaitMillis(wait.toMillis())
                .build();
        return askRecords(address, request, wait.plus(CALL_WITHIN)).map(RecordReplies::page);
    }

    @Override
    public Result<ConfigurationReader.StateCopy> state(String address) {
        RecordsRequest request =
                RecordsRequest.newBuilder().setState(true).setSender(self).build();
        return askRecords(address, request, CALL_WITHIN).flatMap(reply -> RecordReplies.stateCopy(address, reply));
    }

    private Result<RecordsReply> askRecords(String address, RecordsRequest request, Duration within) {
        SingleReply<RecordsRequest, RecordsReply> reply = new SingleReply<>(Step.LOG, address);
        within(address, within).records(request, reply);
        return reply.await();
    }

    @Override
    public List<String> known() {
        return known.get();
    }

    private PeerGrpc.PeerStub within(String address, Duration limit) {
        return stub(address).withDeadlineAfter(limit.toMillis(), TimeUnit.MILLISECONDS);
    }

    // -- weights

    /**
     * Opens a stream of chunks from another agent.
     *
     * @param address the agent
     * @param artifact the manifest's digest
     * @param from the first chunk wanted
     * @param to the index after the last chunk wanted
     * @param generation this process's generation
     * @return the stream
     */
    public Weights.Feed chunks(String address, String artifact, int from, int to, long generation) {
        PeerFeed feed = new PeerFeed(address);
        ChunksRequest request = ChunksRequest.newBuilder()
                .setVersion(artifact)
                .setFrom(from)
                .setTo(to)
                .setReceiver(self)
                .setGeneration(generation)
                .build();
        stub(address).chunks(request, feed);
        return feed;
    }

    @Override
    public void close() {
        channels.values().forEach(ManagedChannel::shutdownNow);
    }
}
