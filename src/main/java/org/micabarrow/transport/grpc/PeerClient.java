package org.micabarrow.transport.grpc;

import com.codahale.metrics.MetricRegistry;
import io.grpc.ConnectivityState;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.micabarrow.coordination.calls.AgentCalls;
import org.micabarrow.coordination.calls.AgentRequest;
import org.micabarrow.coordination.calls.AnswerListener;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.claims.Claim;
import org.micabarrow.coordination.claims.Ledger;
import org.micabarrow.coordination.configuration.ConfigurationReader;
import org.micabarrow.coordination.log.PlatformLog;
import org.micabarrow.coordination.membership.PeerView;
import org.micabarrow.coordination.weights.Weights;
import org.micabarrow.protocol.AnswerMessages;
import org.micabarrow.protocol.RequestMessages;
import org.micabarrow.protocol.StatusMessages;
import org.micabarrow.protocol.wire.ChunksRequest;
import org.micabarrow.protocol.wire.HandleReply;
import org.micabarrow.protocol.wire.HandleRequest;
import org.micabarrow.protocol.wire.PeerGrpc;
import org.micabarrow.protocol.wire.RecordsReply;
import org.micabarrow.protocol.wire.RecordsRequest;
import org.micabarrow.protocol.wire.SettleReply;
import org.micabarrow.protocol.wire.SettleRequest;
import org.micabarrow.protocol.wire.StatusReply;
import org.micabarrow.protocol.wire.StatusRequest;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Replica;
import org.micabarrow.state.Result;

/** Calls other processes of the system over gRPC, and keeps one connection to each. */
public final class PeerClient implements AgentCalls, ConfigurationReader.Peers, AutoCloseable {

    private static final Duration SHORT = Duration.ofSeconds(1);
    private static final Duration ANSWER_SLACK = Duration.ofSeconds(1);
    private static final Duration SOON = Duration.ofMillis(200);

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
        HandleObserver observer = new HandleObserver(to, request.attempt(), listener);
        long millis = Math.max(1, request.remainingMillis()) + ANSWER_SLACK.toMillis();
        stub(to.address())
                .withDeadlineAfter(millis, TimeUnit.MILLISECONDS)
                .handle(RequestMessages.toWire(request), observer);
        return observer::cancel;
    }

    /** Receives one attempt's answer, one part at a time. */
    private final class HandleObserver implements ClientResponseObserver<HandleRequest, HandleReply> {

        private final Replica to;
        private final String attempt;
        private final AnswerListener listener;
        private final AtomicBoolean ended = new AtomicBoolean();
        private volatile ClientCallStreamObserver<HandleRequest> call;

        private HandleObserver(Replica to, String attempt, AnswerListener listener) {
            this.to = to;
            this.attempt = attempt;
            this.listener = listener;
        }

        @Override
        public void beforeStart(ClientCallStreamObserver<HandleRequest> stream) {
            call = stream;
            stream.disableAutoRequestWithInitial(1);
        }

        @Override
        public void onNext(HandleReply reply) {
            if (!reply.getAttempt().equals(attempt)) {
                metrics.counter("answers.foreign").inc();
                call.request(1);
                return;
            }
            switch (reply.getPartCase()) {
                case HEAD -> {
                    listener.onHead(AnswerMessages.headOf(reply));
                    call.request(1);
                }
                case DATA -> listener.onData(reply.getData().toByteArray(), () -> call.request(1));
                case END -> {
                    loads.accept(to.instance(), StatusMessages.fromWire(reply.getLoad(), clock.millis()));
                    end(AnswerMessages.fromWire(to.instance(), reply.getEnd()));
                    call.request(1);
                }
                default -> call.request(1);
            }
        }

        @Override
        public void onError(Throwable error) {
            end(outcomeOf(to.instance(), error));
        }

        @Override
        public void onCompleted() {
            end(Outcome.unknown(
                    Fault.of(Step.ANSWER, to.instance(), Reason.UNREACHABLE, "the answer ended without its end")));
        }

        private void end(Outcome outcome) {
            if (ended.compareAndSet(false, true)) {
                listener.onEnd(outcome);
            }
        }

        private void cancel() {
            call.cancel("the caller has gone", null);
        }
    }

    /** Only a connection that could not be opened proves that nothing was sent. */
    private static Outcome outcomeOf(String peer, Throwable error) {
        Fault fault = fault(Step.DISPATCH, peer, error);
        boolean neverSent = Status.fromThrowable(error).getCause() instanceof ConnectException;
        return neverSent ? Outcome.notRun(fault, SOON) : Outcome.unknown(fault);
    }

    private static Fault fault(Step step, String peer, Throwable error) {
        Status status = Status.fromThrowable(error);
        Reason reason = switch (status.getCode()) {
            case DEADLINE_EXCEEDED -> Reason.TIMEOUT;
            case CANCELLED -> Reason.CANCELLED;
            case OUT_OF_RANGE -> Reason.GONE;
            case NOT_FOUND -> Reason.NOT_READY;
            case PERMISSION_DENIED -> Reason.OUTSIDE_PLACEMENT;
            default -> Reason.UNREACHABLE;
        };
        String message = status.getDescription() == null ? status.getCode().name() : status.getDescription();
        return Fault.of(step, peer, reason, message);
    }

    @Override
    public CompletableFuture<Result<Optional<Ledger.Settled>>> settle(Replica to, Claim claim) {
        SettleRequest request = SettleRequest.newBuilder()
                .setClaim(RequestMessages.toWire(claim))
                .build();
        Single<SettleReply> reply = new Single<>(Step.CLAIM, to.instance());
        within(to.address(), SHORT).settle(request, reply);
        return reply.result.thenApply(result -> result.map(AnswerMessages::fromWire));
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
        Single<StatusReply> reply = new Single<>(Step.STATUS, address);
        within(address, SHORT).status(request, reply);
        return reply.result;
    }

    @Override
    public Result<PlatformLog.Page> records(String address, long from, Duration wait) {
        RecordsRequest request = RecordsRequest.newBuilder()
                .setFrom(from)
                .setSender(self)
                .setWaitMillis(wait.toMillis())
                .build();
        return askRecords(address, request, wait.plus(SHORT)).map(PeerClient::page);
    }

    private static PlatformLog.Page page(RecordsReply reply) {
        return new PlatformLog.Page(
                reply.getFirst(),
                reply.getRecordsList().stream()
                        .map(one -> new PlatformLog.Entry(
                                one.getOffset(),
                                one.getAtMillis(),
                                one.getBody().toByteArray()))
                        .toList());
    }

    @Override
    public Result<ConfigurationReader.StateCopy> state(String address) {
        RecordsRequest request =
                RecordsRequest.newBuilder().setState(true).setSender(self).build();
        return askRecords(address, request, SHORT).flatMap(reply -> stateCopy(address, reply));
    }

    private Result<RecordsReply> askRecords(String address, RecordsRequest request, Duration within) {
        Single<RecordsReply> reply = new Single<>(Step.LOG, address);
        within(address, within).records(request, reply);
        try {
            return reply.result.join();
        } catch (CompletionException e) {
            return Result.failure(fault(Step.LOG, address, e.getCause()));
        }
    }

    private static Result<ConfigurationReader.StateCopy> stateCopy(String address, RecordsReply reply) {
        if (reply.getCheckpoint().isEmpty()) {
            return Result.failure(Fault.of(Step.LOG, address, Reason.NOT_READY, "the peer knows no configuration"));
        }
        try {
            FoldedState state = CanonicalJson.read(reply.getCheckpoint().toByteArray(), FoldedState.class);
            return Result.success(new ConfigurationReader.StateCopy(state, reply.getCheckpointDigest()));
        } catch (IOException e) {
            return Result.failure(
                    Fault.of(Step.LOG, address, Reason.CORRUPT, "the state cannot be read: " + e.getMessage()));
        }
    }

    @Override
    public List<String> known() {
        return known.get();
    }

    private PeerGrpc.PeerStub within(String address, Duration limit) {
        return stub(address).withDeadlineAfter(limit.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Receives the only answer to a call. */
    private static final class Single<T> implements StreamObserver<T> {

        private final Step step;
        private final String peer;
        private final CompletableFuture<Result<T>> result = new CompletableFuture<>();

        private Single(Step step, String peer) {
            this.step = step;
            this.peer = peer;
        }

        @Override
        public void onNext(T value) {
            result.complete(Result.success(value));
        }

        @Override
        public void onError(Throwable error) {
            result.complete(Result.failure(fault(step, peer, error)));
        }

        @Override
        public void onCompleted() {
            result.complete(
                    Result.failure(Fault.of(step, peer, Reason.UNREACHABLE, "the call ended without an answer")));
        }
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

    static Fault chunkFault(String peer, Throwable error) {
        return fault(Step.FETCH, peer, error);
    }

    @Override
    public void close() {
        channels.values().forEach(ManagedChannel::shutdownNow);
    }
}
