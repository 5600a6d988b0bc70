package org.micabarrow.transport.grpc;

import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;

/**
 * Receives the only answer to a call.
 *
 * @param <Q> what was asked
 * @param <T> the answer
 */
final class SingleReply<Q, T> implements ClientResponseObserver<Q, T> {

    private final Step step;
    private final String peer;
    private final CompletableFuture<Result<T>> result = new CompletableFuture<>();
    private volatile ClientCallStreamObserver<Q> call;

    SingleReply(Step step, String peer) {
        this.step = step;
        this.peer = peer;
    }

    @Override
    public void beforeStart(ClientCallStreamObserver<Q> stream) {
        call = stream;
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

    /**
     * Waits for the answer. An interrupt cancels the call, so that a thread that is to end does not wait for what its peer may
     * hold back for seconds.
     */
    Result<T> await() {
        try {
            return result.get();
        } catch (InterruptedException e) {
            call.cancel("interrupted", null);
            Thread.currentThread().interrupt();
            return Result.failure(Fault.of(step, peer, Reason.CANCELLED, "interrupted"));
        } catch (ExecutionException e) {
            return Result.failure(CallFaults.of(step, peer, e.getCause()));
        }
    }
}
