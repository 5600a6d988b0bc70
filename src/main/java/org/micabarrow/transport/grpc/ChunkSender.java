package org.micabarrow.transport.grpc;

import com.google.protobuf.UnsafeByteOperations;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.micabarrow.coordination.agents.Holding;
import org.micabarrow.coordination.weights.ChunkWindow;
import org.micabarrow.protocol.wire.Chunk;
import org.micabarrow.protocol.wire.ChunksRequest;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.transport.LinkPacer;

/** Sends an artifact's chunks to one receiver, each as soon as it is here and the receiver asks for it. */
final class ChunkSender {

    /** How long a stream waits for a chunk or for its receiver before it looks again. */
    private static final Duration POLL = Duration.ofMillis(50);

    /** How often it looks whether a transfer that is about to begin has begun, in milliseconds. */
    private static final long COMING_POLL_MILLIS = 20;

    private static final AtomicLong STREAMS = new AtomicLong();

    private final ChunksRequest request;
    private final ServerCallStreamObserver<Chunk> replies;
    private final LinkPacer link;
    private final Object ready = new Object();
    private final String reader;

    ChunkSender(ChunksRequest request, ServerCallStreamObserver<Chunk> replies, LinkPacer link) {
        this.request = request;
        this.replies = replies;
        this.link = link;
        this.reader = request.getReceiver() + "#" + STREAMS.incrementAndGet();
        replies.setOnReadyHandler(this::wake);
        replies.setOnCancelHandler(this::wake);
    }

    private void wake() {
        synchronized (ready) {
            ready.notifyAll();
        }
    }

    /** Ends the stream before it has begun. */
    void refuse(Status status) {
        replies.onError(status.asRuntimeException());
    }

    /** Sends until the receiver has all, or leaves, or falls out of the window. */
    void run(Function<String, Holding> windows) {
        try {
            Optional<ChunkWindow> window = awaitWindow(windows);
            if (window.isPresent()) {
                sendAll(window.get());
            } else if (!replies.isCancelled()) {
                refuse(Status.NOT_FOUND.withDescription("nothing of " + request.getVersion() + " is held here"));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A receiver may be quicker than this instance to hear of a plan; it waits here and not at the origin. */
    private Optional<ChunkWindow> awaitWindow(Function<String, Holding> windows) throws InterruptedException {
        Holding holding = windows.apply(request.getVersion());
        while (holding instanceof Holding.Coming && !replies.isCancelled()) {
            pauseUntilItMayHaveCome();
            holding = windows.apply(request.getVersion());
        }
        return holding instanceof Holding.Held(ChunkWindow window) ? Optional.of(window) : Optional.empty();
    }

    private void pauseUntilItMayHaveCome() throws InterruptedException {
        synchronized (ready) {
            ready.wait(COMING_POLL_MILLIS);
        }
        tellWaiting(request.getFrom());
    }

    private void sendAll(ChunkWindow window) throws InterruptedException {
        window.arrived(request.getReceiver());
        try {
            sendFrom(window, request.getFrom());
        } finally {
            window.leave(reader);
        }
    }

    private void sendFrom(ChunkWindow window, int from) throws InterruptedException {
        int index = from;
        while (index < Math.min(window.total(), request.getTo())) {
            awaitReady();
            if (replies.isCancelled()) {
                return;
            }
            Result<Optional<byte[]>> chunk = window.read(reader, index, POLL);
            if (chunk instanceof Result.Failure<Optional<byte[]>>(Fault fault)) {
                refuse(Status.OUT_OF_RANGE.withDescription(fault.message()));
                return;
            }
            Optional<byte[]> data = chunk.toOptional().orElseThrow();
            if (data.isPresent()) {
                send(index, data.get());
                index++;
            } else {
                tellWaiting(index);
            }
        }
        if (!replies.isCancelled()) {
            replies.onCompleted();
        }
    }

    private void awaitReady() throws InterruptedException {
        synchronized (ready) {
            while (!replies.isReady() && !replies.isCancelled()) {
                ready.wait(POLL.toMillis());
            }
        }
    }

    /** Keeps a receiver from leaving a sender that is only waiting itself. */
    private void tellWaiting(int index) {
        if (!replies.isCancelled() && replies.isReady()) {
            replies.onNext(Chunk.newBuilder().setIndex(index).setWaiting(true).build());
        }
    }

    private void send(int index, byte[] data) {
        link.acquire(data.length);
        if (!replies.isCancelled()) {
            replies.onNext(Chunk.newBuilder()
                    .setIndex(index)
                    .setData(UnsafeByteOperations.unsafeWrap(data))
                    .build());
        }
    }
}
