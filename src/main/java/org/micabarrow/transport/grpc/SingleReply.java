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
 * Receives the only answer to a call.
 *
 * @param <Q> what was asked
 * @param <T> the answer
 */
final class SingleReply<Q, T> implements ClientResponseObserver<Q, T> {

    private static final Logger LOG = LoggerFactory.getLogger(SingleReply.class);

    /** How long the end of a cancelled call is waited for. It takes one task of the threads for calls. */
    private static final Duration LONGEST_END = Duration.ofSeconds(1);

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
            awaitEnd();
            Thread.currentThread().interrupt();
            return Result.failure(Fault.of(step, peer, Reason.CANCELLED, "interrupted"));
        } catch (ExecutionException e) {
            return Result.failure(CallFaults.of(step, peer, e.getCause()));
        }
    }

    /** A cancelled call ends on the threads for calls, which may be closed as soon as nobody waits for it any more. */
    private void awaitEnd() {
        try {
            result.get(LONGEST_END.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            LOG.debug("event=call_end_not_seen peer={} why=\"{}\"", peer, e.toString());
        }
    }
}
