package org.micabarrow.serving;

import java.util.function.Consumer;
import org.micabarrow.liveness.Liveness;
import org.micabarrow.routing.EndpointRegistration;

/**
 * The end of a response that states neither a length nor chunks and has ended with its connection. The end is held back
 * until it is known whether the endpoint still runs: the connections of a process that has died end in the same way.
 * Used by the traffic thread.
 */
final class UnstatedEnd {

    private final ServedRequest served;
    private final ServingContext context;
    private final EndpointRegistration endpoint;
    private final boolean begun;
    private final String received;
    private final long endedMillis;

    /**
     * Creates the end of a response whose connection has just ended.
     *
     * @param served the request
     * @param endpoint the endpoint
     * @param begun whether any of the body has arrived
     * @param received how the response ended and how much of it has arrived, for the log
     */
    UnstatedEnd(ServedRequest served, EndpointRegistration endpoint, boolean begun, String received) {
        this.served = served;
        this.context = served.context();
        this.endpoint = endpoint;
        this.begun = begun;
        this.received = received;
        this.endedMillis = context.nowMillis();
    }

    /**
     * Finds out whether the response is complete. Nothing is called if the request is concluded before.
     *
     * @param onComplete runs if the endpoint still runs
     * @param onUnproven receives the reason if it has ended or was not reached; a crash has been recorded then
     */
    void check(Runnable onComplete, Consumer<String> onUnproven) {
        context.metrics().endedByConnection.inc();
        context.checkLiveness(endpoint, endedMillis, served.thread(), liveness -> {
            if (!served.finished()) {
                served.log().endChecked(endpoint, received, liveness, context.nowMillis() - endedMillis);
                conclude(liveness, onComplete, onUnproven);
            }
        });
    }

    private void conclude(Liveness liveness, Runnable onComplete, Consumer<String> onUnproven) {
        switch (liveness) {
            case Liveness.Running ignored -> onComplete.run();
            case Liveness.Ended(String evidence) -> {
                // A planned end is no crash.
                if (!context.isDraining(endpoint)) {
                    context.crashes().endpointEnded(endpoint, served.causes(), begun);
                }
                context.metrics().endUnproven.inc();
                onUnproven.accept("the answer ended with its connection, and its endpoint has ended: " + evidence);
            }
            case Liveness.Unconfirmed(String evidence) -> {
                context.metrics().endUnproven.inc();
                onUnproven.accept("the answer ended with its connection, and its endpoint may have ended: " + evidence);
            }
        }
    }
}
