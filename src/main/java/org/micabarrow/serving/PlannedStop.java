package org.micabarrow.serving;

import org.micabarrow.attempts.AnswerTimes;
import org.micabarrow.routing.Route;

/**
 * The planned stop of an entry: until when requests are taken, and when those in flight are ended. It begins on any
 * thread; all else is used by the traffic thread.
 */
final class PlannedStop {

    /**
     * The fraction of a route's recent answers that must have taken no longer than the stop leaves, for a request that
     * may run again: its client repeats it if its answer is cut, so that the likelier outcome decides.
     */
    private static final double REPEATABLE_FRACTION = 0.5;

    /** The same for a request that may run once: nobody may ask again for an answer that is cut. */
    private static final double ONCE_FRACTION = 0.95;

    /** Later than any time of the monotonic clock, with room for differences. */
    private static final long NEVER = Long.MAX_VALUE / 2;

    private final AnswerTimes answerTimes = new AnswerTimes();
    private volatile long refuseFromMillis = NEVER;
    private volatile long endMillis = NEVER;

    /**
     * Begins the stop.
     *
     * @param refuseFrom the time on the monotonic clock from which no request is taken, in milliseconds
     * @param end the time at which requests in flight are ended
     */
    void begin(long refuseFrom, long end) {
        refuseFromMillis = refuseFrom;
        endMillis = end;
    }

    /** Records how long a whole answer took from the arrival of its request. */
    void answered(Route route, long elapsedMillis) {
        answerTimes.answered(route.name(), elapsedMillis);
    }

    /** Whether no request is taken any more. A clock decides, since a paused process is late in noticing anything else. */
    boolean refusesAll(long nowMillis) {
        return nowMillis >= refuseFromMillis;
    }

    /**
     * Whether the stop would probably cut the answer to a request that is sent now, by how long the recent answers of its
     * route took; where there are none, nothing speaks against it. The stop takes nothing from a request whose own time
     * ends before.
     *
     * @param route the request's route
     * @param remainingMillis how long the request is held at most
     * @param nowMillis the time on the monotonic clock
     */
    boolean endsBeforeAnswer(Route route, long remainingMillis, long nowMillis) {
        long leftMillis = endMillis - nowMillis;
        double fraction = route.kind().repeatable() ? REPEATABLE_FRACTION : ONCE_FRACTION;
        return remainingMillis > leftMillis
                && answerTimes.quantile(route.name(), fraction).orElse(leftMillis) > leftMillis;
    }
}
