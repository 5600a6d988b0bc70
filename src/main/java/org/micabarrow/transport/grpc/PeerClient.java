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
import org.micabarrow.coordination.calls.AgentClient;
import org.micabarrow.coordination.calls.AgentRequest;
import org.micabarrow.coordination.calls.ResponseListener;
import org.micabarrow.coordination.claims.Claim;
import org.micabarrow.coordination.claims.Ledger;
import org.micabarrow.coordination.configuration.ConfigurationReader;
import org.micabarrow.coordination.log.PlatformLog;
import org.micabarrow.coordination.membership.PeerView;
import org.micabarrow.coordination.weights.Weights;
import org.micabarrow.protocol.RequestMessages;
import org.micabarrow.protocol.ResponseMessages;
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

/** Calls other processes of the system over gRPC and keeps one channel to each. */
public final class PeerClient implements AgentClient, ConfigurationReader.Peers, AutoCloseable {

    /** The timeout of a call that a peer answers from memory. */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

    /** How far the call's deadline exceeds the request's, so that the agent's own outcome still arrives. */
    private static final Duration RESPONSE_MARGIN = Duration.ofSeconds(1);

    private final String self;
    private final InstantSource clock;
    private final Function<String, ManagedChannel> channelFactory;
    private final Supplier<List<String>> knownPeers;
    private final MetricRegistry metrics;
    private final Map<String, ManagedChannel> channels = new ConcurrentHashMap<>();
    private volatile BiConsumer<String, PeerView.Load> loadListener = (instance, load) -> {};

    /**
     * Creates a client.
     *
     * @param self the id of this instance
     * @param clock timestamps received loads
     * @param channelFactory opens a channel to an address
     * @param knownPeers supplies the addresses of the peers from which a folded state can be read
     * @param metrics counts response parts that belong to another attempt
     */
    public PeerClient(
            String self,
            InstantSource clock,
            Function<String, ManagedChannel> channelFactory,
            Supplier<List<String>> knownPeers,
            MetricRegistry metrics) {
        this.self = Objects.requireNonNull(self, "self is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.channelFactory = Objects.requireNonNull(channelFactory, "channelFactory is null");
        this.knownPeers = Objects.requireNonNull(knownPeers, "knownPeers is null");
        this.metrics = Objects.requireNonNull(metrics, "metrics is null");
    }

    private PeerGrpc.PeerStub stub(String address) {
        ManagedChannel channel = channels.computeIfAbsent(address, channelFactory);
        if (channel.getState(false) == ConnectivityState.TRANSIENT_FAILURE) {
            // An instance that restarts at its old address becomes reachable without waiting for a long reconnect
            // backoff.
            channel.resetConnectBackoff();
        }
        return PeerGrpc.newStub(channel);
    }

    /**
     * Sets the listener for the loads that agents report with their responses.
     *
     * @param listener receives the instance id and its load
     */
    public void setLoadListener(BiConsumer<String, PeerView.Load> listener) {
        loadListener = Objects.requireNonNull(listener, "listener is null");
    }

    // -- requests

    @Override
    public Runnable handle(Replica replica, AgentRequest request, ResponseListener listener) {
        ResponseReceiver receiver = new ResponseReceiver(
                replica,
                request.attempt(),
                listener,
                load -> loadListener.accept(replica.instance(), load),
                clock,
                metrics);
        long timeoutMillis = Math.max(1, request.remainingMillis()) + RESPONSE_MARGIN.toMillis();
        stub(replica.address())
                .withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS)
                .handle(RequestMessages.toWire(request), receiver);
        return receiver::cancel;
    }

    @Override
    public CompletableFuture<Result<Optional<Ledger.Settlement>>> settle(Replica replica, Claim claim) {
        SettleRequest request = SettleRequest.newBuilder()
                .setClaim(RequestMessages.toWire(claim))
                .build();
        UnaryReplyObserver<SettleRequest, SettleReply> reply = new UnaryReplyObserver<>(Step.CLAIM, replica.instance());
        stubWithTimeout(replica.address(), CALL_TIMEOUT).settle(request, reply);
        return reply.result().thenApply(result -> result.map(ResponseMessages::fromWire));
    }

    // -- status and records

    /**
     * Requests the status of a process.
     *
     * @param address the address of the process
     * @param generation the configuration generation of this process
     * @return its status, or a failure if it cannot be read
     */
    public CompletableFuture<Result<StatusReply>> status(String address, long generation) {
        StatusRequest request = StatusRequest.newBuilder()
                .setGeneration(generation)
                .setSender(self)
                .build();
        UnaryReplyObserver<StatusRequest, StatusReply> reply = new UnaryReplyObserver<>(Step.STATUS, address);
        stubWithTimeout(address, CALL_TIMEOUT).status(request, reply);
        return reply.result();
    }

    @Override
    public Result<PlatformLog.Page> records(String address, long from, Duration wait) {
        RecordsRequest request = RecordsRequest.newBuilder()
                .setFrom(from)
                .setSender(self)
                .setWaitMillis(wait.toMillis())
                .build();
        return requestRecords(address, request, wait.plus(CALL_TIMEOUT)).map(RecordsReplyParser::page);
    }

    @Override
    public Result<ConfigurationReader.StateCopy> state(String address) {
        RecordsRequest request =
                RecordsRequest.newBuilder().setState(true).setSender(self).build();
        return requestRecords(address, request, CALL_TIMEOUT)
                .flatMap(reply -> RecordsReplyParser.stateCopy(address, reply));
    }

    private Result<RecordsReply> requestRecords(String address, RecordsRequest request, Duration timeout) {
        UnaryReplyObserver<RecordsRequest, RecordsReply> reply = new UnaryReplyObserver<>(Step.LOG, address);
        stubWithTimeout(address, timeout).records(request, reply);
        return reply.await();
    }

    @Override
    public List<String> known() {
        return knownPeers.get();
    }

    private PeerGrpc.PeerStub stubWithTimeout(String address, Duration timeout) {
        return stub(address).withDeadlineAfter(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    // -- weights

    /**
     * Opens a stream of chunks from another agent.
     *
     * @param address the agent's address
     * @param artifact the digest of the artifact's manifest
     * @param from the index of the first chunk
     * @param to the index after the last chunk
     * @param generation the configuration generation of this process
     * @return the stream
     */
    public Weights.Feed chunks(String address, String artifact, int from, int to, long generation) {
        PeerChunkStream stream = new PeerChunkStream(address);
        ChunksRequest request = ChunksRequest.newBuilder()
                .setVersion(artifact)
                .setFrom(from)
                .setTo(to)
                .setReceiver(self)
                .setGeneration(generation)
                .build();
        stub(address).chunks(request, stream);
        return stream;
    }

    @Override
    public void close() {
        channels.values().forEach(ManagedChannel::shutdownNow);
    }
}
