package org.micabarrow.serving;

import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.crashes.SuspicionLevel;
import org.micabarrow.routing.EndpointRegistration;

/**
 * Checks a routing decision again once the connection is established, just before the first byte of the request is
 * written. A process that was paused in between acts on an old decision, and its timers fire only afterwards; by then
 * the endpoint may be draining, or may no longer be allowed to begin the request. The check costs as much as
 * considering one endpoint in a routing decision.
 */
final class PreSendCheck {

    /**
     * How long an endpoint may take to accept a connection, in milliseconds. The longest path between regions takes a
     * few milliseconds; a lost SYN packet is retransmitted only after a second.
     */
    static final long CONNECT_TIMEOUT_MILLIS = 250;

    private PreSendCheck() {}

    /** The result of the check. */
    sealed interface Result {

        /** The request may be sent. */
        record Valid() implements Result {}

        /**
         * The request must not be sent on this decision.
         *
         * @param reason the reason, for the log
         * @param mayReuseEndpoint whether a new decision may choose the same endpoint
         */
        record Outdated(String reason, boolean mayReuseEndpoint) implements Result {}
    }

    /**
     * Checks a decision.
     *
     * @param served the request
     * @param endpoint the chosen endpoint
     * @param decidedMillis when the decision was made
     * @return whether the request may be sent now
     */
    static Result check(ServedRequest served, EndpointRegistration endpoint, long decidedMillis) {
        ServingContext context = served.context();
        ClientRequest request = served.request();
        if (served.remainingMillis() <= 0) {
            return new Result.Outdated("time is up", false);
        }
        if (context.suspects().suspicion(served.causes(), context.nowMillis()) instanceof SuspicionLevel.Refused) {
            return new Result.Outdated("it ends endpoints", false);
        }
        if (context.isGoneOrDraining(endpoint) || !context.canReceive(request, endpoint)) {
            return new Result.Outdated("the endpoint may not get it any more", false);
        }
        if (context.isBackingOff(endpoint)) {
            return new Result.Outdated("the endpoint has asked for rest", false);
        }
        if (!context.versions().mayStart(request, endpoint)) {
            return new Result.Outdated("a newer weight version is due", false);
        }
        long connectMillis = context.nowMillis() - decidedMillis;
        if (connectMillis > CONNECT_TIMEOUT_MILLIS && !served.hadLateConnection()) {
            // Updates that arrived meanwhile have not been read yet, so even a decision that seems valid is based on an
            // old view. This is done only once per request: in a process that is always slow, every connection would be
            // late, and nothing would ever be sent.
            return new Result.Outdated("the connection came only after " + connectMillis + " ms", true);
        }
        return new Result.Valid();
    }
}
