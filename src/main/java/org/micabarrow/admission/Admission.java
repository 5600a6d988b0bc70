package org.micabarrow.admission;

import java.util.List;
import java.util.Objects;
import org.micabarrow.routing.EndpointChoice;
import org.micabarrow.routing.EndpointChoice.Choice;
import org.micabarrow.routing.EndpointChoice.Wanted;
import org.micabarrow.routing.EndpointEntry;

/**
 * Decides what happens to a request now: it is sent, waits for room while it can still be in time, or is refused at once.
 * Used by one thread.
 */
public final class Admission {

    private final EndpointChoice choice;

    /**
     * Makes the decisions of an entry.
     *
     * @param choice chooses endpoints, and knows their load
     */
    public Admission(EndpointChoice choice) {
        this.choice = Objects.requireNonNull(choice, "choice is null");
    }

    /** What happens to a request. */
    public sealed interface Decision {

        /**
         * It is sent.
         *
         * @param chosen where to
         */
        record Send(Choice.Send chosen) implements Decision {}

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

        /** It is refused, because no endpoint can serve it at all. */
        record Unable() implements Decision {}
    }

    /**
     * Decides.
     *
     * @param endpoints the service's endpoints
     * @param wanted what is to be sent
     * @param nowMillis the time on the steady clock
     * @return what happens
     */
    public Decision decide(List<EndpointEntry> endpoints, Wanted wanted, long nowMillis) {
        return switch (choice.choose(endpoints, wanted, nowMillis)) {
            case Choice.Send chosen -> new Decision.Send(chosen);
            case Choice.None ignored -> new Decision.Unable();
            case Choice.Full(int full) -> waitOrRefuse(full, wanted);
        };
    }

    private Decision waitOrRefuse(int full, Wanted wanted) {
        long spare = choice.spareMillis(wanted);
        return spare > 0 ? new Decision.Wait(spare, full) : new Decision.Full(full);
    }
}
