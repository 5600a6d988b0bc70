package org.micabarrow.transport;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpClient.HttpAnswer;

/** Collects an answer until it is whole. */
final class WholeAnswer implements HttpClient.Listener {

    private final CompletableFuture<Result<HttpAnswer>> done = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private volatile boolean begun;
    private volatile long movedNanos;
    private int status;
    private Map<String, String> headers = Map.of();

    /** Whether any part of the answer has come. */
    boolean begun() {
        return begun;
    }

    /**
     * Waits for the whole answer.
     *
     * @param limits how long to wait, from now on
     * @throws TimeoutException if it did not come in time
     */
    Result<HttpAnswer> await(ResponseTimeouts limits) throws InterruptedException, ExecutionException, TimeoutException {
        long asked = System.nanoTime();
        while (true) {
            long left = limits.deadlineNanos(asked, begun ? movedNanos : asked) - System.nanoTime();
            try {
                return done.get(Math.max(0, left), TimeUnit.NANOSECONDS);
            } catch (TimeoutException e) {
                if (limits.deadlineNanos(asked, begun ? movedNanos : asked) - System.nanoTime() <= 0) {
                    throw e;
                }
            }
        }
    }

    private void moved() {
        movedNanos = System.nanoTime();
        begun = true;
    }

    @Override
    public void onHead(int received, Map<String, String> receivedHeaders) {
        moved();
        status = received;
        headers = receivedHeaders;
    }

    @Override
    public void onData(byte[] data, Runnable more) {
        moved();
        body.writeBytes(data);
        more.run();
    }

    @Override
    public void onComplete() {
        done.complete(Result.success(new HttpAnswer(status, headers, body.toByteArray())));
    }

    @Override
    public void onFailed(Fault fault, boolean sent) {
        done.complete(Result.failure(fault));
    }
}
