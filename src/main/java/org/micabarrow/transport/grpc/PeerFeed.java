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

/** Chunks from another agent, asked for a few at a time so that little waits in memory. */
final class PeerFeed implements Weights.Feed, ClientResponseObserver<ChunksRequest, Chunk> {

    /** How many chunks are asked for before they are read, which bounds the memory. */
    private static final int AHEAD = 2;

    private static final Chunk END = Chunk.newBuilder().setIndex(-1).build();

    private final String address;
    private final LinkedBlockingQueue<Chunk> arrived = new LinkedBlockingQueue<>();
    private volatile ClientCallStreamObserver<ChunksRequest> call;
    private volatile Fault failure;

    PeerFeed(String address) {
        this.address = address;
    }

    // -- reading

    /**
     * Waits for the next chunk. A sender that tells that it waits for its own source is given more time, since that
     * source's receiver is the one to go elsewhere.
     */
    @Override
    public Result<byte[]> next(Weights.Patience patience) {
        long end = System.nanoTime() + patience.waiting().toNanos();
        try {
            while (true) {
                Optional<Chunk> next =
                        Optional.ofNullable(arrived.poll(patience.silence().toMillis(), TimeUnit.MILLISECONDS));
                if (next.isEmpty()) {
                    return failed(
                            Reason.STALLED,
                            "nothing within " + patience.silence().toMillis() + " ms");
                }
                if (next.get() == END) {
                    return Result.failure(failure);
                }
                call.request(1);
                if (!next.get().getWaiting()) {
                    return Result.success(next.get().getData().toByteArray());
                }
                if (System.nanoTime() > end) {
                    return failed(Reason.NOT_READY, "it waits for its own source");
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return failed(Reason.CANCELLED, "interrupted");
        }
    }

    private Result<byte[]> failed(Reason reason, String message) {
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
        stream.disableAutoRequestWithInitial(AHEAD);
    }

    @Override
    public void onNext(Chunk chunk) {
        arrived.add(chunk);
    }

    @Override
    public void onError(Throwable error) {
        end(CallFaults.of(Step.FETCH, address, error));
    }

    @Override
    public void onCompleted() {
        end(Fault.of(Step.FETCH, address, Reason.GONE, "the peer has no further chunks"));
    }

    private void end(Fault fault) {
        failure = fault;
        arrived.add(END);
    }
}
