package org.micabarrow.admission;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import org.micabarrow.routing.Choice;
import org.micabarrow.routing.EndpointChoice;
import org.micabarrow.routing.EndpointEntry;
import org.micabarrow.routing.Wanted;

/**
 * Decides whether a request is sent now, waits for a free slot while it can still meet its objective, or is refused.
 * Not thread-safe: confined to one thread.
 */
public final class Admission {

    /**
     * The fraction of its remaining time after which a refused client is told to retry. A request is refused when its
     * response can no longer be in time, so an earlier retry gains nothing. A later one leaves more time for the cause
     * to pass: an endpoint that restarts, or a weight version that is being loaded, needs a second or two. Clients
     * respect up to a third.
     */
    private static final double COME_BACK_PART = 0.3;

    private final EndpointChoice choice;

    /**
     * Creates the admission control of an entry.
     *
     * @param selector selects endpoints and knows their load
     */
    public Admission(EndpointChoice choice) {
        this.choice = Objects.requireNonNull(choice, "choice is null");
    }

    /** What happens to a request. */
    public sealed interface Decision {

        /**
         * The request is sent.
         *
         * @param selection the selected endpoint
         */
        record Send(Choice.Send chosen) implements Decision {}

        /**
         * The request waits for a free slot.
         *
         * @param millis how long it may wait and still meet its objective, in milliseconds
         * @param endpoints the number of endpoints that could serve it if they had capacity
         */
        record Wait(long millis, int endpoints) implements Decision {}

        /**
         * The request is refused, because it cannot meet its objective wherever a slot becomes free.
         *
         * @param endpoints the number of endpoints that could serve it if they had capacity
         */
        record Full(int endpoints) implements Decision {}

        /**
         * The request is refused, because all eligible endpoints are in backoff for longer than it may wait.
         *
         * @param endpoints the number of eligible endpoints
         * @param millis the time until the first backoff ends, in milliseconds
         */
        record Resting(int endpoints, long millis) implements Decision {}

        /**
         * The request is refused, because this entry has used up its quota share at all eligible endpoints.
         *
         * @param endpoints the number of eligible endpoints
         * @param millis the time until one of them may be sent another request, in milliseconds; empty if their rate
         *     limits are left entirely to other entries
         */
        record Limited(int endpoints, OptionalLong millis) implements Decision {}

        /** The request is refused, because no endpoint can serve it. */
        record Unable() implements Decision {}

        /**
         * The request is refused, because it crashes the endpoints that run it.
         *
         * @param crashes the number of crashes attributed to it
         * @param forMillis how long it is refused, in milliseconds
         */
        record Culprit(int crashes, long forMillis) implements Decision {}
    }

    /**
     * Decides what happens to a request.
     *
     * @param endpoints the service's endpoints
     * @param request the request to send
     * @param nowMillis the time on the monotonic clock
     * @return the decision
     */
    public Decision decide(List<EndpointEntry> endpoints, Wanted wanted, long nowMillis) {
        return switch (choice.choose(endpoints, wanted, nowMillis)) {
            case Choice.Send chosen -> new Decision.Send(chosen);
            case Choice.None ignored -> new Decision.Unable();
            case Choice.Full(int full) -> withoutRoom(full, wanted);
            case Choice.Limited(int limited, OptionalLong millis) -> new Decision.Limited(limited, millis);
            case Choice.Resting(int resting, long millis) -> whileAllRest(resting, millis, wanted);
        };
    }

    private Decision whileAllRest(int resting, long millis, Wanted wanted) {
        long spare = choice.spareMillis(wanted);
        return spare > millis ? new Decision.Wait(spare, resting) : new Decision.Resting(resting, millis);
    }

    /**
     * Decides what happens to a request for which there is no free slot now.
     *
     * @param full the number of endpoints that could serve it if they had capacity
     * @param request the request to send
     * @return a wait, or a refusal if the request can no longer meet its objective
     */
    public Decision withoutRoom(int full, Wanted wanted) {
        long spare = choice.spareMillis(wanted);
        return spare > 0 ? new Decision.Wait(spare, full) : new Decision.Full(full);
    }

    /**
     * Returns the time after which a refused client is told to retry.
     *
     * @param remainingMillis how long the client will still wait, in milliseconds
     * @return milliseconds from now, at least 1
     */
    public static long comeBackMillis(long millisLeft) {
        return Math.max(1, Math.round(millisLeft * COME_BACK_PART));
    }
}
