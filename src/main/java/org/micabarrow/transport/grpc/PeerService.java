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
import org.micabarrow.coordination.calls.AnswerHead;
import org.micabarrow.coordination.calls.AnswerListener;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.configuration.Configuration;
import org.micabarrow.coordination.log.PlatformLog;
import org.micabarrow.protocol.AnswerMessages;
import org.micabarrow.protocol.RequestMessages;
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

/** Answers other processes of the system. An entry runs no requests and holds no chunks, and answers such calls so. */
public final class PeerService extends PeerGrpc.PeerImplBase {

    /** The most records in one reply, which bounds its size. */
    private static final int MOST_RECORDS = 256;

    /** How long a call waits for its sender's configuration, before it is decided on the one in force. */
    private static final Duration CATCH_UP = Duration.ofSeconds(1);

    private final Configuration configuration;
    private final Supplier<StatusReply> status;
    private final Optional<AgentParts> agent;

    /**
     * Makes the service.
     *
     * @param configuration the configuration in force here
     * @param status gives the present status
     * @param agent what only agents have
     */
    public PeerService(Configuration configuration, Supplier<StatusReply> status, Optional<AgentParts> agent) {
        this.configuration = Objects.requireNonNull(configuration, "configuration is null");
        this.status = Objects.requireNonNull(status, "status is null");
        this.agent = Objects.requireNonNull(agent, "agent is null");
    }

    /**
     * What only agents have.
     *
     * @param flow runs requests
     * @param windows the chunks of an artifact that can be passed on, now or soon
     * @param load the present load
     * @param link holds what is sent to the link's rate
     * @param senders runs the streams of chunks
     */
    public record AgentParts(
            AgentFlow flow,
            Function<String, Holding> windows,
            Supplier<Load> load,
            LinkPacer link,
            ExecutorService senders) {}

    // -- requests

    @Override
    public void handle(HandleRequest request, StreamObserver<HandleReply> replies) {
        if (agent.isEmpty()) {
            replies.onError(Status.UNIMPLEMENTED
                    .withDescription("an entry runs no requests")
                    .asRuntimeException());
            return;
        }
        Answering answering = new Answering(request.getAttempt(), (ServerCallStreamObserver<HandleReply>) replies);
        Runnable cancel = agent.get().flow().begin(RequestMessages.fromWire(request), answering);
        answering.cancelWith(cancel);
    }

    /** Writes one answer, no faster than the entry takes it. */
    private final class Answering implements AnswerListener {

        private final String attempt;
        private final ServerCallStreamObserver<HandleReply> replies;
        private final AtomicReference<Runnable> waiting = new AtomicReference<>();
        private final AtomicReference<Runnable> cancel = new AtomicReference<>(() -> {});
        private volatile boolean gone;

        private Answering(String attempt, ServerCallStreamObserver<HandleReply> replies) {
            this.attempt = attempt;
            this.replies = replies;
            replies.setOnReadyHandler(this::goOn);
            replies.setOnCancelHandler(this::cancelled);
        }

        private void cancelWith(Runnable runnable) {
            cancel.set(runnable);
            if (gone) {
                runnable.run();
            }
        }

        private void cancelled() {
            gone = true;
            cancel.get().run();
            goOn();
        }

        private void goOn() {
            Runnable more = waiting.getAndSet(null);
            if (more != null) {
                more.run();
            }
        }

        @Override
        public void onHead(AnswerHead head) {
            send(AnswerMessages.toWire(head));
        }

        @Override
        public void onData(byte[] data, Runnable more) {
            send(HandleReply.newBuilder()
                    .setAttempt(attempt)
                    .setData(ByteString.copyFrom(data))
                    .build());
            if (gone || replies.isReady()) {
                more.run();
                return;
            }
            waiting.set(more);
            if (gone || replies.isReady()) {
                goOn();
            }
        }

        @Override
        public void onEnd(Outcome outcome) {
            send(HandleReply.newBuilder()
                    .setAttempt(attempt)
                    .setEnd(AnswerMessages.toWire(outcome))
                    .setLoad(agent.orElseThrow().load().get())
                    .build());
            if (!gone) {
                replies.onCompleted();
            }
        }

        private void send(HandleReply reply) {
            if (!gone) {
                replies.onNext(reply);
            }
        }
    }

    @Override
    public void settle(SettleRequest request, StreamObserver<SettleReply> replies) {
        SettleReply reply = agent.map(parts ->
                        AnswerMessages.toWire(parts.flow().settle(RequestMessages.fromWire(request.getClaim()))))
                .orElse(SettleReply.newBuilder()
                        .setState(SettleReply.State.LOST)
                        .build());
        answer(replies, reply);
    }

    // -- status and records

    @Override
    public void status(StatusRequest request, StreamObserver<StatusReply> replies) {
        answer(replies, status.get());
    }

    @Override
    public void records(RecordsRequest request, StreamObserver<RecordsReply> replies) {
        if (request.getState()) {
            answer(replies, stateReply());
            return;
        }
        configuration
                .reach(request.getFrom(), Duration.ofMillis(Math.max(1, request.getWaitMillis())))
                .whenCompleteAsync((state, late) -> answer(replies, recordsReply(request.getFrom())));
    }

    private RecordsReply stateReply() {
        if (!configuration.known()) {
            return RecordsReply.getDefaultInstance();
        }
        FoldedState state = configuration.current();
        return aged().setCheckpoint(ByteString.copyFrom(CanonicalJson.write(state)))
                .setCheckpointOffset(state.offset())
                .setCheckpointDigest(state.digest())
                .build();
    }

    private RecordsReply.Builder aged() {
        RecordsReply.Builder reply = RecordsReply.newBuilder();
        return configuration.known() ? reply.setHeardMillisAgo(configuration.silentMillis()) : reply;
    }

    /** The records from an offset on; {@code first} tells a reader that asks for older ones to take the state. */
    private RecordsReply recordsReply(long from) {
        Configuration.View view = configuration.view();
        List<PlatformLog.Entry> tail = view.tail();
        long first =
                tail.isEmpty() ? view.state().offset() + 1 : tail.getFirst().offset();
        RecordsReply.Builder reply = aged().setFirst(first);
        tail.stream()
                .filter(entry -> entry.offset() >= from)
                .limit(MOST_RECORDS)
                .map(entry -> LogRecord.newBuilder()
                        .setOffset(entry.offset())
                        .setAtMillis(entry.atMillis())
                        .setBody(ByteString.copyFrom(entry.body()))
                        .build())
                .forEach(reply::addRecords);
        return reply.build();
    }

    private static <T> void answer(StreamObserver<T> replies, T reply) {
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
        AgentParts parts = agent.get();
        ChunkSender sender = new ChunkSender(request, (ServerCallStreamObserver<Chunk>) replies, parts.link());
        configuration
                .reach(request.getGeneration(), CATCH_UP)
                .whenCompleteAsync((state, late) -> send(request, sender, parts), parts.senders());
    }

    /** Weights pass only between instances that carry a replica of a placement that uses them. */
    private void send(ChunksRequest request, ChunkSender sender, AgentParts parts) {
        boolean placed = configuration.current().placements().values().stream()
                .filter(one -> one.placement().workload().artifacts().stream()
                        .anyMatch(artifact -> artifact.digest().equals(request.getVersion())))
                .anyMatch(one -> one.replicaOn(request.getReceiver()).isPresent());
        if (placed) {
            sender.run(parts.windows());
        } else {
            sender.refuse(Status.PERMISSION_DENIED.withDescription(
                    "no placement has " + request.getVersion() + " on " + request.getReceiver()));
        }
    }
}
