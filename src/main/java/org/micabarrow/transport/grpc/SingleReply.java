package org.micabarrow.transport.grpc;

import io.grpc.stub.StreamObserver;
import java.util.concurrent.CompletableFuture;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;

/** Receives the only answer to a call. */
final class SingleReply<T> implements StreamObserver<T> {

    private final Step step;
    private final String peer;
    private final CompletableFuture<Result<T>> result = new CompletableFuture<>();

    SingleReply(Step step, String peer) {
        this.step = step;
        this.peer = peer;
    }

    @Override
    public void onNext(T value) {
        result.complete(Result.success(value));
    }

    @Override
    public void onError(Throwable error) {
        result.complete(Result.failure(CallFaults.of(step, peer, error)));
    }

    @Override
    public void onCompleted() {
        result.complete(Result.failure(Fault.of(step, peer, Reason.UNREACHABLE, "the call ended without an answer")));
    }

    /** The answer, or why there is none. */
    CompletableFuture<Result<T>> result() {
        return result;
    }
}
