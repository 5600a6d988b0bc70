package org.micabarrow.transport;

import com.fasterxml.jackson.core.util.ByteArrayBuilder;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.memory.HeldBytes;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpClient.HttpResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Collects a response until it is complete. The request is not sent if it is no longer due when it could be. What all of them hold
 * is bounded together: the part of the heap that answers of the store have is not taken by those of others.
 */
final class ResponseCollector implements HttpClient.Listener {

    /** The longest body that is collected, in bytes: four times as long as the longest manifest. */
    private static final long MAX_BODY_BYTES = 16 << 20;

    private static final Logger LOG = LoggerFactory.getLogger(ResponseCollector.class);

    private final HttpCall call;
    private final BooleanSupplier stillDue;
    private final CompletableFuture<Result<HttpResponse>> done = new CompletableFuture<>();
    private final HeldBytes.Hold held;
    private final long maxBytes;
    private volatile ByteArrayBuilder body = new ByteArrayBuilder();
    private volatile boolean begun;
    private volatile boolean refused;
    private volatile long received;
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
        boolean records = call.step() == Step.LOG || call.step() == Step.READ;
        HeldBytes all = records ? HeldBytes.ofRecords() : HeldBytes.ofOthers();
        this.held = all.holdAnswer(this::onNoRoom);
        this.maxBytes = Math.min(MAX_BODY_BYTES, all.limitBytes());
    }

    /** Whether any part of the response has arrived. */
    boolean hasBegun() {
        return begun;
    }

    /** Whether the response was given up because of the length of its body; the rest of it is not read. */
    boolean refused() {
        return refused;
    }

    /** Ends the count of what is held, also of a response that is still to come. */
    void release() {
        held.release();
        body = new ByteArrayBuilder(0);
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
        received += data.length;
        if (received > maxBytes) {
            refuse("the body is longer than " + maxBytes + " bytes");
            return;
        }
        ByteArrayBuilder growing = body;
        held.set(received);
        if (!refused) {
            growing.write(data);
            requestMore.run();
        }
    }

    /** Called by whichever thread needs the memory. */
    private void onNoRoom() {
        refuse("no memory is left for a body of " + received + " bytes");
    }

    private void refuse(String reason) {
        refused = true;
        release();
        LOG.warn("event=message_refused peer={} action=closed why=\"{}\"", call.peer(), reason);
        done.complete(Result.failure(Fault.of(call.step(), call.peer(), Reason.TOO_LARGE, reason)));
    }

    /**
     * Accepts a body that ended with its connection too: what is read through this class, JSON, records with their
     * lengths and chunks with their digests, shows by itself whether it is whole.
     */
    @Override
    public void onComplete(BodyEnd end) {
        if (held.complete(received)) {
            byte[] whole = body.toByteArray();
            body = new ByteArrayBuilder(0);
            done.complete(Result.success(new HttpResponse(status, headers, whole, held::complete)));
        }
    }

    @Override
    public void onFailed(Fault fault, boolean sent) {
        release();
        done.complete(Result.failure(fault));
    }
}
