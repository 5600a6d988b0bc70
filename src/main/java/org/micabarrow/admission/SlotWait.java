package org.micabarrow.admission;

import java.util.Objects;
import java.util.Optional;
import org.micabarrow.admission.AdmissionControl.Decision;
import org.micabarrow.admission.WaitQueue.Place;
import org.micabarrow.admission.WaitQueue.Waiter;

/**
 * A request's wait for room: it begins when a decision says so, and ends when another decision sends or refuses the request,
 * when its time runs out, or when the request ends for another reason. Used by one thread.
 */
public final class SlotWait implements Waiter {

    private final Line line;
    private final Request request;
    private Optional<Place> place = Optional.empty();
    private String why = "";

    /** The line in which the request waits. */
    public interface Line {

        /**
         * Adds the request.
         *
         * @param rank its rank, 0 first
         * @param latestStartMillis the last moment at which sending it could still bring an answer in time
         * @param waiter learns when there may be room
         * @return its place
         */
        Place join(int rank, long latestStartMillis, Waiter waiter);

        /**
         * Takes the request out.
         *
         * @param place its place
         */
        void leave(Place place);
    }

    /** The request that waits. */
    public interface Request {

        /**
         * Decides anew.
         *
         * @return what happens to the request now
         */
        Decision decide();

        /**
         * The wait is over, since a decision no longer says to wait.
         *
         * @param decision the decision
         * @param why why the request was to be sent when it began to wait
         */
        void decided(Decision decision, String why);

        /** The wait is over, since the request cannot be in time any more. */
        void outOfTime();
    }

    /**
     * A wait that has not begun.
     *
     * @param line where to wait
     * @param request who waits
     */
    public SlotWait(Line line, Request request) {
        this.line = Objects.requireNonNull(line, "line is null");
        this.request = Objects.requireNonNull(request, "request is null");
    }

    /**
     * Begins to wait.
     *
     * @param rank the request's rank, 0 first
     * @param latestStartMillis the last moment at which sending it could still bring an answer in time
     * @param reason why it is to be sent
     */
    public void begin(int rank, long latestStartMillis, String reason) {
        why = reason;
        place = Optional.of(line.join(rank, latestStartMillis, this));
    }

    /**
     * Whether the request waits.
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
