package org.micabarrow.transport.grpc;

import com.google.protobuf.ByteString;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.Supplier;
import org.micabarrow.coordination.agents.AgentFlow;
import org.micabarrow.coordination.agents.Holding;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.calls.ResponseHead;
import org.micabarrow.coordination.calls.ResponseListener;
import org.micabarrow.coordination.configuration.Configuration;
import org.micabarrow.coordination.log.PlatformLog;
import org.micabarrow.protocol.RequestMessages;
import org.micabarrow.protocol.ResponseMessages;
import org.micabarrow.protocol.wire.Chunk;
import org.micabarrow.protocol.wire.ChunksRequest;
import org.micabarrow.protocol.wire.HandleReply;
import org.micabarrow.protocol.wire.HandleRequest;
import org.micabarrow.protocol.wire.Load;
import org.micabarrow.protocol.wire.LogRecord;
import org.micabarrow.protocol.wire.PeerGrpc;
import org.micabarrow.protocol.wire.RecordsReply;
import org.micabarrow.protocol.wire.RecordsRequest;
import org.micabarrow.protocol.wire.SettleReply;
import org.micabarrow.protocol.wire.SettleRequest;
import org.micabarrow.protocol.wire.StatusReply;
import org.micabarrow.protocol.wire.StatusRequest;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.FoldedState;
import org.micabarrow.transport.LinkPacer;

/**
 * Handles gRPC calls from other processes of the system. An entry runs no requests and holds no chunks, and replies to calls
 * for them accordingly.
 */
public final class PeerService extends PeerGrpc.PeerImplBase {

    /** The maximum number of records in one reply; bounds its size. */
    private static final int MAX_RECORDS = 256;

    /** How long a call waits for this process to reach its sender's configuration before it uses the active one. */
    private static final Duration CATCH_UP_TIMEOUT = Duration.ofSeconds(1);

    private final Configuration configuration;
    private final Supplier<StatusReply> status;
    private final Optional<AgentComponents> agent;

    /**
     * Creates the service.
     *
     * @param configuration the configuration of this process
     * @param status supplies the current status
     * @param agent the components of an agent, empty on an entry
     */
    public PeerService(Configuration configuration, Supplier<StatusReply> status, Optional<AgentComponents> agent) {
        this.configuration = Objects.requireNonNull(configuration, "configuration is null");
        this.status = Objects.requireNonNull(status, "status is null");
        this.agent = Objects.requireNonNull(agent, "agent is null");
    }

    /**
     * The components that only agents have.
     *
     * @param flow runs requests
     * @param holdings returns what this instance holds of an artifact for other instances, now or soon
     * @param load supplies the current load
     * @param link limits outgoing chunks to the link's rate
     * @param senderExecutor runs the chunk streams
     */
    public record AgentComponents(
            AgentFlow flow,
            Function<String, Holding> holdings,
            Supplier<Load> load,
            LinkPacer link,
            ExecutorService senderExecutor) {}

    // -- requests

    @Override
    public void handle(HandleRequest request, StreamObserver<HandleReply> replies) {
        if (agent.isEmpty()) {
            replies.onError(Status.UNIMPLEMENTED
                    .withDescription("an entry runs no requests")
                    .asRuntimeException());
            return;
        }
        ResponseWriter writer =
                new ResponseWriter(request.getAttempt(), (ServerCallStreamObserver<HandleReply>) replies);
        Runnable cancel = agent.get().flow().begin(RequestMessages.fromWire(request), writer);
        writer.setCancelAction(cancel);
    }

    /** Writes the response to one attempt, applying the backpressure of the calling entry. */
    private final class ResponseWriter implements ResponseListener {

        private final String attempt;
        private final ServerCallStreamObserver<HandleReply> replies;
        private final AtomicReference<Runnable> pendingMore = new AtomicReference<>();
        private final AtomicReference<Runnable> cancelAction = new AtomicReference<>(() -> {});
        private volatile boolean cancelled;

        private ResponseWriter(String attempt, ServerCallStreamObserver<HandleReply> replies) {
            this.attempt = attempt;
            this.replies = replies;
            replies.setOnReadyHandler(this::resume);
            replies.setOnCancelHandler(this::onCancelled);
        }

        private void setCancelAction(Runnable action) {
            cancelAction.set(action);
            if (cancelled) {
                action.run();
            }
        }

        private void onCancelled() {
            cancelled = true;
            cancelAction.get().run();
            resume();
        }

        private void resume() {
            Runnable more = pendingMore.getAndSet(null);
            if (more != null) {
                more.run();
            }
        }

        @Override
        public void onHead(ResponseHead head) {
            send(ResponseMessages.toWire(head));
        }

        @Override
        public void onData(byte[] data, Runnable more) {
            send(HandleReply.newBuilder()
                    .setAttempt(attempt)
                    .setData(ByteString.copyFrom(data))
                    .build());
            if (cancelled || replies.isReady()) {
                more.run();
                return;
            }
            pendingMore.set(more);
            if (cancelled || replies.isReady()) {
                resume();
            }
        }

        @Override
        public void onEnd(Outcome outcome) {
            send(HandleReply.newBuilder()
                    .setAttempt(attempt)
                    .setEnd(ResponseMessages.toWire(outcome))
                    .setLoad(agent.orElseThrow().load().get())
                    .build());
            if (!cancelled) {
                replies.onCompleted();
            }
        }

        private void send(HandleReply reply) {
            if (!cancelled) {
                replies.onNext(reply);
            }
        }
    }

    @Override
    public void settle(SettleRequest request, StreamObserver<SettleReply> replies) {
        SettleReply reply = agent.map(components ->
                        ResponseMessages.toWire(components.flow().settle(RequestMessages.fromWire(request.getClaim()))))
                .orElse(SettleReply.newBuilder()
                        .setState(SettleReply.State.LOST)
                        .build());
        sendReply(replies, reply);
    }

    // -- status and records

    @Override
    public void status(StatusRequest request, StreamObserver<StatusReply> replies) {
        sendReply(replies, status.get());
    }

    @Override
    public void records(RecordsRequest request, StreamObserver<RecordsReply> replies) {
        if (request.getState()) {
            sendReply(replies, stateReply());
            return;
        }
        configuration
                .reach(request.getFrom(), Duration.ofMillis(Math.max(1, request.getWaitMillis())))
                .whenCompleteAsync((state, error) -> sendReply(replies, recordsReply(request.getFrom())));
    }

    private RecordsReply stateReply() {
        if (!configuration.known()) {
            return RecordsReply.getDefaultInstance();
        }
        FoldedState state = configuration.current();
        return replyWithAge()
                .setCheckpoint(ByteString.copyFrom(CanonicalJson.write(state)))
                .setCheckpointOffset(state.offset())
                .setCheckpointDigest(state.digest())
                .build();
    }

    private RecordsReply.Builder replyWithAge() {
        RecordsReply.Builder reply = RecordsReply.newBuilder();
        return configuration.known() ? reply.setHeardMillisAgo(configuration.silentMillis()) : reply;
    }

    /**
     * Returns the records from an offset onwards. A reader that needs records before {@code first} has to read the folded
     * state instead.
     */
    private RecordsReply recordsReply(long from) {
        Configuration.View view = configuration.view();
        List<PlatformLog.Entry> tail = view.tail();
        long first =
                tail.isEmpty() ? view.state().offset() + 1 : tail.getFirst().offset();
        RecordsReply.Builder reply = replyWithAge().setFirst(first);
        tail.stream()
                .filter(entry -> entry.offset() >= from)
                .limit(MAX_RECORDS)
                .map(entry -> LogRecord.newBuilder()
                        .setOffset(entry.offset())
                        .setAtMillis(entry.atMillis())
                        .setBody(ByteString.copyFrom(entry.body()))
                        .build())
                .forEach(reply::addRecords);
        return reply.build();
    }

    private static <T> void sendReply(StreamObserver<T> replies, T reply) {
        replies.onNext(reply);
        replies.onCompleted();
    }

    // -- weights

    @Override
    public void chunks(ChunksRequest request, StreamObserver<Chunk> replies) {
        if (agent.isEmpty()) {
            replies.onError(Status.NOT_FOUND
                    .withDescription("an entry holds no weights")
                    .asRuntimeException());
            return;
        }
        AgentComponents components = agent.get();
        ChunkSender sender = new ChunkSender(request, (ServerCallStreamObserver<Chunk>) replies, components.link());
        configuration
                .reach(request.getGeneration(), CATCH_UP_TIMEOUT)
                .whenCompleteAsync(
                        (state, error) -> sendChunks(request, sender, components), components.senderExecutor());
    }

    /** Sends weights only to an instance that has a replica of a placement that uses them. */
    private void sendChunks(ChunksRequest request, ChunkSender sender, AgentComponents components) {
        boolean permitted = configuration.current().placements().values().stream()
                .filter(placed -> placed.placement().workload().artifacts().stream()
                        .anyMatch(artifact -> artifact.digest().equals(request.getVersion())))
                .anyMatch(placed -> placed.replicaOn(request.getReceiver()).isPresent());
        if (permitted) {
            sender.run(components.holdings());
        } else {
            sender.refuse(Status.PERMISSION_DENIED.withDescription(
                    "no placement has " + request.getVersion() + " on " + request.getReceiver()));
        }
    }
}
