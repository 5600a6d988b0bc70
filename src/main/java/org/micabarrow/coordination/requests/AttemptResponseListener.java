package org.micabarrow.coordination.requests;

import java.util.function.Consumer;
import org.micabarrow.coordination.calls.AnswerHead;
import org.micabarrow.coordination.calls.AnswerListener;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.state.Replica;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Forwards the response of one attempt to the caller and records it in the measurements of the instance. */
final class AttemptResponseListener implements AnswerListener {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.decision.route");

    private final RequestFlow.Parts parts;
    private final CallerRequest request;
    private final AnswerListener sink;
    private final Replica replica;
    private final String attempt;
    private final Runnable onResponseStart;
    private final Consumer<Outcome> onAttemptEnd;
    private final long sentMillis;

    /**
     * Creates the listener of an attempt that is about to be sent.
     *
     * @param parts the components that requests use
     * @param request the request
     * @param sink receives the caller's response
     * @param replica the replica that the attempt is sent to
     * @param attempt the attempt's id
     * @param onResponseStart runs when the response starts, before any of it is forwarded
     * @param onAttemptEnd receives the attempt's outcome
     */
    AttemptResponseListener(
            RequestFlow.Parts parts,
            CallerRequest request,
            AnswerListener sink,
            Replica replica,
            String attempt,
            Runnable onResponseStart,
            Consumer<Outcome> onAttemptEnd) {
        this.parts = parts;
        this.request = request;
        this.sink = sink;
        this.replica = replica;
        this.attempt = attempt;
        this.onResponseStart = onResponseStart;
        this.onAttemptEnd = onAttemptEnd;
        this.sentMillis = parts.clock().millis();
    }

    @Override
    public void onHead(AnswerHead head) {
        onResponseStart.run();
        parts.instanceStats()
                .firstByteReceived(replica.instance(), parts.clock().millis() - sentMillis);
        sink.onHead(head);
    }

    @Override
    public void onData(byte[] data, Runnable more) {
        sink.onData(data, more);
    }

    @Override
    public void onEnd(Outcome outcome) {
        parts.instanceStats().requestEnded(replica.instance());
        LOG.info(
                "end request={} attempt={} instance={} outcome={}", request.id(), attempt, replica.instance(), outcome);
        onAttemptEnd.accept(outcome);
    }
}
