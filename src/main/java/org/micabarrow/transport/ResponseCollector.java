package org.micabarrow.transport;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** Collects a response until it is complete. The request is not sent if it is no longer due when it could be. */
final class ResponseCollector implements HttpClient.Listener {

    /** The longest body that is collected, in bytes: four times as long as the longest manifest. */
    private static final int MAX_BODY_BYTES = 16 << 20;

    private final HttpCall call;
    private final BooleanSupplier stillDue;
    private final CompletableFuture<Result<HttpResponse>> done = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private volatile boolean begun;
    private volatile boolean tooLarge;
    private volatile long lastPartNanos;
    private int status;
    private HeaderFields headers = HeaderFields.empty();

    /**
     * Creates a collector.
     *
     * @param call the request
     * @param stillDue whether the request is to be sent; called on an I/O thread just before it is
     */
    ResponseCollector(HttpCall call, BooleanSupplier stillDue) {
        this.call = call;
        this.stillDue = stillDue;
    }

    /** Whether any part of the response has arrived. */
    boolean hasBegun() {
        return begun;
    }

    /** Whether the response was given up because its body is too long; the rest of it is not read. */
    boolean tooLarge() {
        return tooLarge;
    }

    /**
     * Waits for the complete response.
     *
     * @param timeouts the timeouts for the response, counted from now
     * @throws TimeoutException if a timeout expired before the response was complete
     */
    Result<HttpResponse> await(ResponseTimeouts timeouts)
            throws InterruptedException, ExecutionException, TimeoutException {
        long startNanos = System.nanoTime();
        while (true) {
            long remaining = timeouts.deadlineNanos(startNanos, begun ? lastPartNanos : startNanos) - System.nanoTime();
            try {
                return done.get(Math.max(0, remaining), TimeUnit.NANOSECONDS);
            } catch (TimeoutException e) {
                if (timeouts.deadlineNanos(startNanos, begun ? lastPartNanos : startNanos) - System.nanoTime() <= 0) {
                    throw e;
                }
            }
        }
    }

    private void onPart() {
        lastPartNanos = System.nanoTime();
        begun = true;
    }

    @Override
    public Optional<HttpCall> beforeSend(HttpCall decided) {
        if (stillDue.getAsBoolean()) {
            return Optional.of(decided);
        }
        done.complete(Result.failure(
                Fault.of(call.step(), call.peer(), Reason.TOO_LATE, "it was no longer due and was not sent")));
        return Optional.empty();
    }

    @Override
    public void onHead(int receivedStatus, HeaderFields receivedHeaders) {
        onPart();
        status = receivedStatus;
        headers = receivedHeaders;
    }

    @Override
    public void onData(byte[] data, Runnable requestMore) {
        onPart();
        if (body.size() + data.length > MAX_BODY_BYTES) {
            tooLarge = true;
            done.complete(Result.failure(Fault.of(
                    call.step(),
                    call.peer(),
                    Reason.TOO_LARGE,
                    "the body is longer than " + MAX_BODY_BYTES + " bytes")));
            return;
        }
        body.writeBytes(data);
        requestMore.run();
    }

    /**
     * Accepts a body that ended with its connection too: what is read through this class, JSON, records with their
     * lengths and chunks with their digests, shows by itself whether it is whole.
     */
    @Override
    public void onComplete(BodyEnd end) {
        done.complete(Result.success(new HttpResponse(status, headers, body.toByteArray())));
    }

    @Override
    public void onFailed(Fault fault, boolean sent) {
        done.complete(Result.failure(fault));
    }
}
