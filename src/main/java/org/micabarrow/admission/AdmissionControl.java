package org.micabarrow.admission;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import org.micabarrow.routing.EndpointSelection;
import org.micabarrow.routing.EndpointSelector;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.Wanted;

/**
 * Decides what happens to a request now: it is sent, waits for room while it can still be in time, or is refused at once.
 * Used by one thread.
 */
public final class AdmissionControl {

    /**
     * The part of its remaining time after which a refused client is told to come back. A request is refused when its answer
     * cannot be in time any more, so that coming back sooner gains nothing, and later leaves more time for what is wrong to pass:
     * an endpoint that starts anew, or a weight version that is taken up, needs a second or two. Clients heed up to a third.
     */
    private static final double COME_BACK_PART = 0.3;

    private final EndpointSelector choice;

    /**
     * Makes the decisions of an entry.
     *
     * @param choice chooses endpoints, and knows their load
     */
    public AdmissionControl(EndpointSelector choice) {
        this.choice = Objects.requireNonNull(choice, "choice is null");
    }

    /** What happens to a request. */
    public sealed interface Decision {

        /**
         * It is sent.
         *
         * @param chosen where to
         */
        record Send(EndpointSelection.Send chosen) implements Decision {}

        /**
         * It waits for room.
         *
         * @param millis how long it may wait and still be in time
         * @param endpoints how many endpoints could serve it if they had room
         */
        record Wait(long millis, int endpoints) implements Decision {}

        /**
         * It is refused, because it cannot be in time wherever room may come.
         *
         * @param endpoints how many endpoints could serve it if they had room
         */
        record Full(int endpoints) implements Decision {}

        /**
         * It is refused, because all endpoints that could serve it rest for longer than it may wait.
         *
         * @param endpoints how many there are
         * @param millis how long the first of them rests
         */
        record Resting(int endpoints, long millis) implements Decision {}

        /**
         * It is refused, because all endpoints that could serve it have been sent what this entry may send them.
         *
         * @param endpoints how many there are
         * @param millis how long it takes until one may be sent another request; empty if that is left to other entries
         */
        record Limited(int endpoints, OptionalLong millis) implements Decision {}

        /** It is refused, because no endpoint can serve it at all. */
        record Unable() implements Decision {}

        /**
         * It is refused, because it ends the endpoints that run it.
         *
         * @param crashes how many it has ended
         * @param forMillis for how long it is refused
         */
        record Culprit(int crashes, long forMillis) implements Decision {}
    }

    /**
     * Decides.
     *
     * @param endpoints the service's endpoints
     * @param wanted what is to be sent
     * @param nowMillis the time on the steady clock
     * @return what happens
     */
    public Decision decide(List<EndpointRegistration> endpoints, Wanted wanted, long nowMillis) {
        return switch (choice.choose(endpoints, wanted, nowMillis)) {
            case EndpointSelection.Send chosen -> new Decision.Send(chosen);
            case EndpointSelection.None ignored -> new Decision.Unable();
            case EndpointSelection.Full(int full) -> withoutRoom(full, wanted);
            case EndpointSelection.Limited(int limited, OptionalLong millis) -> new Decision.Limited(limited, millis);
            case EndpointSelection.Resting(int resting, long millis) -> whileAllRest(resting, millis, wanted);
        };
    }

    private Decision whileAllRest(int resting, long millis, Wanted wanted) {
        long spare = choice.spareMillis(wanted);
        return spare > millis ? new Decision.Wait(spare, resting) : new Decision.Resting(resting, millis);
    }

    /**
     * What happens to a request for which there is no room now.
     *
     * @param full how many endpoints could serve it if they had room
     * @param wanted what is to be sent
     * @return a wait, or the refusal of what cannot be in time any more
     */
    public Decision withoutRoom(int full, Wanted wanted) {
        long spare = choice.spareMillis(wanted);
        return spare > 0 ? new Decision.Wait(spare, full) : new Decision.Full(full);
    }

    /**
     * When a refused client is told to come back.
     *
     * @param millisLeft how long the client will still wait, in milliseconds
     * @return milliseconds from now, at least 1
     */
    public static long comeBackMillis(long millisLeft) {
        return Math.max(1, Math.round(millisLeft * COME_BACK_PART));
    }
}
