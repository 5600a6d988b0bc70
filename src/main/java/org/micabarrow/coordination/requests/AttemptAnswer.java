package org.micabarrow.coordination.requests;

import java.util.function.Consumer;
import org.micabarrow.coordination.calls.AnswerHead;
import org.micabarrow.coordination.calls.AnswerListener;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.state.Replica;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Passes the answer of one attempt on to the caller, and counts it for the instance that gives it. */
final class AttemptAnswer implements AnswerListener {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.decision.route");

    private final RequestFlow.Parts parts;
    private final CallerRequest request;
    private final AnswerListener sink;
    private final Replica replica;
    private final String attempt;
    private final Runnable begins;
    private final Consumer<Outcome> ends;
    private final long sentMillis;

    /**
     * Makes the receiver of an attempt that is being sent now.
     *
     * @param parts what requests pass through
     * @param request the request
     * @param sink receives what the caller gets
     * @param replica where the attempt runs
     * @param attempt the attempt
     * @param begins run when the answer begins, before the caller gets anything of it
     * @param ends receives the attempt's outcome
     */
    AttemptAnswer(
            RequestFlow.Parts parts,
            CallerRequest request,
            AnswerListener sink,
            Replica replica,
            String attempt,
            Runnable begins,
            Consumer<Outcome> ends) {
        this.parts = parts;
        this.request = request;
        this.sink = sink;
        this.replica = replica;
        this.attempt = attempt;
        this.begins = begins;
        this.ends = ends;
        this.sentMillis = parts.clock().millis();
    }

    @Override
    public void onHead(AnswerHead head) {
        begins.run();
        parts.traffic().began(replica.instance(), parts.clock().millis() - sentMillis);
        sink.onHead(head);
    }

    @Override
    public void onData(byte[] data, Runnable more) {
        sink.onData(data, more);
    }

    @Override
    public void onEnd(Outcome outcome) {
        parts.traffic().closed(replica.instance());
        LOG.info(
                "end request={} attempt={} instance={} outcome={}", request.id(), attempt, replica.instance(), outcome);
        ends.accept(outcome);
    }
}
