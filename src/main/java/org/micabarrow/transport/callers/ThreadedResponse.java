package org.micabarrow.transport.callers;

import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.calls.ResponseHead;
import org.micabarrow.coordination.calls.ResponseListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Hands the parts of a response over to the thread of the caller's connection, in order. That thread reads on the connection
 * meanwhile, and with TLS a connection cannot be read by one thread and written by another.
 */
final class ThreadedResponse implements ResponseListener {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.request");

    private final Executor thread;
    private final ResponseListener response;

    ThreadedResponse(Executor thread, ResponseListener response) {
        this.thread = Objects.requireNonNull(thread, "thread is null");
        this.response = Objects.requireNonNull(response, "response is null");
    }

    @Override
    public void onHead(ResponseHead head) {
        execute(() -> response.onHead(head));
    }

    @Override
    public void onData(byte[] data, Runnable more) {
        execute(() -> response.onData(data, more));
    }

    @Override
    public void onEnd(Outcome outcome) {
        execute(() -> response.onEnd(outcome));
    }

    private void execute(Runnable part) {
        try {
            thread.execute(part);
        } catch (RejectedExecutionException e) {
            LOG.debug("event=answer_dropped why=\"the listener has stopped\"", e);
        }
    }
}
