package org.micabarrow.transport.grpc;

import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Receives the reply of a unary call.
 *
 * @param <Q> the type of the request
 * @param <T> the type of the reply
 */
final class UnaryReplyObserver<Q, T> implements ClientResponseObserver<Q, T> {

    private static final Logger LOG = LoggerFactory.getLogger(UnaryReplyObserver.class);

    /** How long to wait for a cancelled call to end, which takes a single task on the executor for calls. */
    private static final Duration CANCELLATION_TIMEOUT = Duration.ofSeconds(1);

    private final Step step;
    private final String peer;
    private final CompletableFuture<Result<T>> result = new CompletableFuture<>();
    private volatile ClientCallStreamObserver<Q> call;

    UnaryReplyObserver(Step step, String peer) {
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
        result.complete(Result.failure(Fault.of(step, peer, Reason.UNREACHABLE, "the call completed without a reply")));
    }

    /** Returns the reply, or the reason why there is none. */
    CompletableFuture<Result<T>> result() {
        return result;
    }

    /**
     * Waits for the reply. An interrupt cancels the call, so that a thread that is to stop does not wait for a reply that its
     * peer may delay for seconds.
     */
    Result<T> await() {
        try {
            return result.get();
        } catch (InterruptedException e) {
            call.cancel("interrupted", null);
            awaitCancellation();
            Thread.currentThread().interrupt();
            return Result.failure(Fault.of(step, peer, Reason.CANCELLED, "interrupted"));
        } catch (ExecutionException e) {
            return Result.failure(CallFaults.of(step, peer, e.getCause()));
        }
    }

    /** Waits for a cancelled call to end: it ends on the executor for calls, which may be shut down after this returns. */
    private void awaitCancellation() {
        try {
            result.get(CANCELLATION_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            LOG.debug("event=call_end_not_seen peer={} why=\"{}\"", peer, e.toString());
        }
    }
}
