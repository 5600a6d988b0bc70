package org.micabarrow.transport;

import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.micabarrow.coordination.Weights;
import org.micabarrow.protocol.wire.Chunk;
import org.micabarrow.protocol.wire.ChunksRequest;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;

/** Chunks from another agent, asked for a few at a time so that little waits in memory. */
final class PeerFeed implements Weights.Feed, ClientResponseObserver<ChunksRequest, Chunk> {

    private static final int AHEAD = 2;

    private final String address;
    private final LinkedBlockingQueue<Result<byte[]>> arrived = new LinkedBlockingQueue<>();
    private volatile ClientCallStreamObserver<ChunksRequest> call;

    PeerFeed(String address) {
        this.address = address;
    }

    // -- reading

    @Override
    public Result<byte[]> next(Duration patience) {
        try {
            Optional<Result<byte[]>> next =
                    Optional.ofNullable(arrived.poll(patience.toMillis(), TimeUnit.MILLISECONDS));
            next.ifPresent(ignored -> call.request(1));
            return next.orElseGet(() -> Result.failure(
                    Fault.of(Step.FETCH, address, Reason.STALLED, "no chunk within " + patience.toMillis() + " ms")));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Result.failure(Fault.of(Step.FETCH, address, Reason.CANCELLED, "interrupted"));
        }
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
        arrived.add(Result.success(chunk.getData().toByteArray()));
    }

    @Override
    public void onError(Throwable error) {
        arrived.add(Result.failure(PeerClient.chunkFault(address, error)));
    }

    @Override
    public void onCompleted() {
        arrived.add(Result.failure(Fault.of(Step.FETCH, address, Reason.GONE, "the peer has no further chunks")));
    }
}
