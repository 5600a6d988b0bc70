package org.micabarrow.admission;

import java.util.Objects;
import java.util.Optional;
import org.micabarrow.admission.Admission.Decision;
import org.micabarrow.admission.WaitingLine.Place;
import org.micabarrow.admission.WaitingLine.Waiter;

/**
 * The wait of a request for a free slot. It ends when a later decision sends or refuses the request, when its time
 * expires, or when the request ends for another reason. Not thread-safe: confined to one thread.
 */
public final class RoomWait implements Waiter {

    private final Line line;
    private final Request request;
    private Optional<Place> place = Optional.empty();
    private String why = "";

    /** The queue in which the request waits. */
    public interface Line {

        /**
         * Adds the request to the queue.
         *
         * @param priority its priority, 0 is the most urgent
         * @param latestStartMillis the last time at which sending it could still meet its objective
         * @param waiter notified when there may be a free slot
         * @return the queued request
         */
        Place join(int rank, long latestStartMillis, Waiter waiter);

        /**
         * Removes the request from the queue.
         *
         * @param queued the queued request
         */
        void leave(Place place);
    }

    /** The request that waits. */
    public interface Request {

        /**
         * Decides again whether the request is sent, waits or is refused.
         *
         * @return the new decision
         */
        Decision decide();

        /**
         * Called when the wait ends because a decision no longer says to wait.
         *
         * @param decision the decision
         * @param reason the reason for sending the request, as given when the wait began
         */
        void decided(Decision decision, String why);

        /** Called when the wait ends because the request can no longer meet its objective. */
        void outOfTime();
    }

    /**
     * Creates a wait that has not begun.
     *
     * @param queue the queue to wait in
     * @param request the request that waits
     */
    public RoomWait(Line line, Request request) {
        this.line = Objects.requireNonNull(line, "line is null");
        this.request = Objects.requireNonNull(request, "request is null");
    }

    /**
     * Begins to wait.
     *
     * @param priority the request's priority, 0 is the most urgent
     * @param latestStartMillis the last time at which sending it could still meet its objective
     * @param reason the reason for sending it
     */
    public void begin(int rank, long latestStartMillis, String reason) {
        why = reason;
        place = Optional.of(line.join(rank, latestStartMillis, this));
    }

    /**
     * Returns whether the request is waiting.
     *
     * @return true from the beginning of a wait to its end
     */
    public boolean waits() {
        return place.isPresent();
    }

    @Override
    public boolean tryStart() {
        Decision decision = request.decide();
        if (decision instanceof Decision.Wait) {
            return false;
        }
        place = Optional.empty();
        request.decided(decision, why);
        return true;
    }

    @Override
    public void tooLate() {
        place = Optional.empty();
        request.outOfTime();
    }

    /** Ends the wait, if there is one, because the request has ended. */
    public void end() {
        place.ifPresent(line::leave);
        place = Optional.empty();
    }
}
