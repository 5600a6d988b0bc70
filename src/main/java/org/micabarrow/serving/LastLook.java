package org.micabarrow.serving;

import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.crashes.SuspicionLevel;
import org.micabarrow.routing.EndpointRegistration;

/**
 * Looks at a decision again when its connection is up, before the first byte of the request leaves. A process that stood
 * still in between writes on what it decided before, and its timers run only after; what was a good endpoint then may have
 * left, or may begin nothing any more. Costs what one endpoint costs in a decision.
 */
final class LastLook {

    /**
     * How long an endpoint may take to accept a connection, in milliseconds. The longest way between regions takes a few;
     * an opening packet that was dropped is sent again only after a second.
     */
    static final long CONNECT_MILLIS = 250;

    private LastLook() {}

    /** What was seen. */
    sealed interface Verdict {

        /** The request may leave. */
        record Holds() implements Verdict {}

        /**
         * Nothing may be sent on this decision.
         *
         * @param why the reason, for the log
         * @param able whether a new decision may fall on the same endpoint
         */
        record Outdated(String why, boolean able) implements Verdict {}
    }

    /**
     * Looks.
     *
     * @param run the request, decided on
     * @param endpoint where it is to be sent
     * @param decidedMillis when that was decided
     * @return whether it may be sent now
     */
    static Verdict at(ServedRequest run, EndpointRegistration endpoint, long decidedMillis) {
        ServingParts parts = run.parts();
        ClientRequest request = run.request();
        if (run.millisLeft() <= 0) {
            return new Verdict.Outdated("time is up", false);
        }
        if (parts.suspects().standing(run.digest(), parts.nowMillis()) instanceof SuspicionLevel.Refused) {
            return new Verdict.Outdated("it ends endpoints", false);
        }
        if (parts.leaves(endpoint) || !parts.able(request, endpoint)) {
            return new Verdict.Outdated("the endpoint may not get it any more", false);
        }
        if (parts.rests(endpoint)) {
            return new Verdict.Outdated("the endpoint has asked for rest", false);
        }
        if (!parts.versions().mayBegin(request, endpoint)) {
            return new Verdict.Outdated("a newer weight version is due", false);
        }
        long tookMillis = parts.nowMillis() - decidedMillis;
        if (tookMillis > CONNECT_MILLIS && !run.cameLate()) {
            // What came in meanwhile has not been read yet, so that even what looks well rests on an old view. Once a
            // request only: in a process that is slow all the time each connection comes late, and nothing would leave
            // it.
            return new Verdict.Outdated("the connection came only after " + tookMillis + " ms", true);
        }
        return new Verdict.Holds();
    }
}
