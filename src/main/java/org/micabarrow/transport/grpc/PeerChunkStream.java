package org.micabarrow.transport.grpc;

import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import java.util.Optional;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.micabarrow.coordination.weights.Weights;
import org.micabarrow.protocol.wire.Chunk;
import org.micabarrow.protocol.wire.ChunksRequest;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;

/** A stream of chunks from another agent, which requests only a few chunks ahead to bound memory use. */
final class PeerChunkStream implements Weights.Feed, ClientResponseObserver<ChunksRequest, Chunk> {

    /** How many chunks are requested ahead of the reader; bounds memory use. */
    private static final int PREFETCHED_CHUNKS = 2;

    private static final Chunk END_MARKER = Chunk.newBuilder().setIndex(-1).build();

    private final String address;
    private final LinkedBlockingQueue<Chunk> received = new LinkedBlockingQueue<>();
    private volatile ClientCallStreamObserver<ChunksRequest> call;
    private volatile Fault endFault;

    PeerChunkStream(String address) {
        this.address = address;
    }

    // -- reading

    /**
     * Waits for the next chunk. A sender that reports that it waits for its own source is given more time, because
     * it switches to another source itself.
     */
    @Override
    public Result<byte[]> next(Weights.Patience patience) {
        long deadlineNanos = System.nanoTime() + patience.waiting().toNanos();
        try {
            while (true) {
                Optional<Chunk> next =
                        Optional.ofNullable(received.poll(patience.silence().toMillis(), TimeUnit.MILLISECONDS));
                if (next.isEmpty()) {
                    return failure(
                            Reason.STALLED,
                            "nothing within " + patience.silence().toMillis() + " ms");
                }
                if (next.get() == END_MARKER) {
                    return Result.failure(endFault);
                }
                call.request(1);
                if (!next.get().getWaiting()) {
                    return Result.success(next.get().getData().toByteArray());
                }
                if (System.nanoTime() > deadlineNanos) {
                    return failure(Reason.NOT_READY, "the sender still waits for its own source");
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return failure(Reason.CANCELLED, "interrupted");
        }
    }

    private Result<byte[]> failure(Reason reason, String message) {
        return Result.failure(Fault.of(Step.FETCH, address, reason, message));
    }

    @Override
    public void close() {
        call.cancel("no further chunks wanted", null);
    }

    // -- receiving

    @Override
    public void beforeStart(ClientCallStreamObserver<ChunksRequest> stream) {
        call = stream;
        stream.disableAutoRequestWithInitial(PREFETCHED_CHUNKS);
    }

    @Override
    public void onNext(Chunk chunk) {
        received.add(chunk);
    }

    @Override
    public void onError(Throwable error) {
        finish(CallFaults.of(Step.FETCH, address, error));
    }

    @Override
    public void onCompleted() {
        finish(Fault.of(Step.FETCH, address, Reason.GONE, "the peer has no further chunks"));
    }

    private void finish(Fault fault) {
        endFault = fault;
        received.add(END_MARKER);
    }
}
