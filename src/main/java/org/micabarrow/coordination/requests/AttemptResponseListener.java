package org.micabarrow.coordination.requests;

import java.util.function.Consumer;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.calls.ResponseHead;
import org.micabarrow.coordination.calls.ResponseListener;
import org.micabarrow.state.Replica;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Forwards the response of one attempt to the caller and records it in the measurements of the instance. */
final class AttemptResponseListener implements ResponseListener {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.decision.route");

    private final RequestFlow.Components components;
    private final CallerRequest request;
    private final ResponseListener sink;
    private final Replica replica;
    private final String attempt;
    private final Runnable onResponseStart;
    private final Consumer<Outcome> onAttemptEnd;
    private final long sentMillis;

    /**
     * Creates the listener of an attempt that is about to be sent.
     *
     * @param components the components that requests use
     * @param request the request
     * @param sink receives the caller's response
     * @param replica the replica that the attempt is sent to
     * @param attempt the attempt's id
     * @param onResponseStart runs when the response starts, before any of it is forwarded
     * @param onAttemptEnd receives the attempt's outcome
     */
    AttemptResponseListener(
            RequestFlow.Components components,
            CallerRequest request,
            ResponseListener sink,
            Replica replica,
            String attempt,
            Runnable onResponseStart,
            Consumer<Outcome> onAttemptEnd) {
        this.components = components;
        this.request = request;
        this.sink = sink;
        this.replica = replica;
        this.attempt = attempt;
        this.onResponseStart = onResponseStart;
        this.onAttemptEnd = onAttemptEnd;
        this.sentMillis = components.clock().millis();
    }

    @Override
    public void onHead(ResponseHead head) {
        onResponseStart.run();
        components
                .instanceStats()
                .firstByteReceived(replica.instance(), components.clock().millis() - sentMillis);
        sink.onHead(head);
    }

    @Override
    public void onData(byte[] data, Runnable more) {
        sink.onData(data, more);
    }

    @Override
    public void onEnd(Outcome outcome) {
        components.instanceStats().requestEnded(replica.instance());
        LOG.info(
                "end request={} attempt={} instance={} outcome={}", request.id(), attempt, replica.instance(), outcome);
        onAttemptEnd.accept(outcome);
    }
}
