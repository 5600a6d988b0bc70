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

/** Streams an artifact's chunks to one receiver, each as soon as it is available here and the receiver is ready for it. */
final class ChunkSender {

    /** How long a stream waits for a chunk or for its receiver before it checks again. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    /** How often a stream checks whether an imminent transfer to this instance has begun, in milliseconds. */
    private static final long PENDING_POLL_MILLIS = 20;

    private static final AtomicLong STREAM_COUNTER = new AtomicLong();

    private final ChunksRequest request;
    private final ServerCallStreamObserver<Chunk> replies;
    private final LinkPacer link;
    private final Object readyMonitor = new Object();
    private final String readerId;

    ChunkSender(ChunksRequest request, ServerCallStreamObserver<Chunk> replies, LinkPacer link) {
        this.request = request;
        this.replies = replies;
        this.link = link;
        this.readerId = request.getReceiver() + "#" + STREAM_COUNTER.incrementAndGet();
        replies.setOnReadyHandler(this::notifyReady);
        replies.setOnCancelHandler(this::notifyReady);
    }

    private void notifyReady() {
        synchronized (readyMonitor) {
            readyMonitor.notifyAll();
        }
    }

    /** Ends the stream with an error. */
    void refuse(Status status) {
        replies.onError(status.asRuntimeException());
    }

    /** Sends until the receiver has all chunks, cancels the stream, or needs a chunk that has left the window. */
    void run(Function<String, Holding> holdings) {
        try {
            Optional<ChunkWindow> window = awaitWindow(holdings);
            if (window.isPresent()) {
                sendAll(window.get());
            } else if (!replies.isCancelled()) {
                refuse(Status.NOT_FOUND.withDescription("no chunks of " + request.getVersion() + " are held here"));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Waits for a transfer that is about to begin. A receiver may learn of a plan before this instance does; letting it wait
     * here keeps it from fetching from the origin.
     */
    private Optional<ChunkWindow> awaitWindow(Function<String, Holding> holdings) throws InterruptedException {
        Holding holding = holdings.apply(request.getVersion());
        while (holding instanceof Holding.Coming && !replies.isCancelled()) {
            pauseWhilePending();
            holding = holdings.apply(request.getVersion());
        }
        return holding instanceof Holding.Held(ChunkWindow window) ? Optional.of(window) : Optional.empty();
    }

    private void pauseWhilePending() throws InterruptedException {
        synchronized (readyMonitor) {
            readyMonitor.wait(PENDING_POLL_MILLIS);
        }
        sendWaiting(request.getFrom());
    }

    private void sendAll(ChunkWindow window) throws InterruptedException {
        window.arrived(request.getReceiver());
        try {
            sendFrom(window, request.getFrom());
        } finally {
            window.leave(readerId);
        }
    }

    private void sendFrom(ChunkWindow window, int from) throws InterruptedException {
        int index = from;
        while (index < Math.min(window.total(), request.getTo())) {
            awaitReady();
            if (replies.isCancelled()) {
                return;
            }
            Result<Optional<byte[]>> chunk = window.read(readerId, index, POLL_INTERVAL);
            if (chunk instanceof Result.Failure<Optional<byte[]>>(Fault fault)) {
                refuse(Status.OUT_OF_RANGE.withDescription(fault.message()));
                return;
            }
            Optional<byte[]> data = chunk.toOptional().orElseThrow();
            if (data.isPresent()) {
                send(index, data.get());
                index++;
            } else {
                sendWaiting(index);
            }
        }
        if (!replies.isCancelled()) {
            replies.onCompleted();
        }
    }

    private void awaitReady() throws InterruptedException {
        synchronized (readyMonitor) {
            while (!replies.isReady() && !replies.isCancelled()) {
                readyMonitor.wait(POLL_INTERVAL.toMillis());
            }
        }
    }

    /** Reports that this sender waits for its own source, so that the receiver does not treat it as stalled. */
    private void sendWaiting(int index) {
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
