package org.micabarrow.admission;

import java.util.Objects;
import java.util.Optional;
import org.micabarrow.admission.AdmissionControl.Decision;
import org.micabarrow.admission.WaitQueue.QueuedRequest;
import org.micabarrow.admission.WaitQueue.Waiter;
import org.micabarrow.routing.AllowedRegions;

/**
 * The wait of a request for a free slot. It ends when a later decision sends or refuses the request, when its time
 * expires, or when the request ends for another reason. Not thread-safe: confined to one thread.
 */
public final class SlotWait implements Waiter {

    private final Queue queue;
    private final Request request;
    private Optional<QueuedRequest> queued = Optional.empty();
    private String attemptReason = "";

    /** The queue in which the request waits. */
    public interface Queue {

        /**
         * Adds the request to the queue.
         *
         * @param priority its priority, 0 is the most urgent
         * @param latestStartMillis the last time at which sending it could still meet its objective
         * @param waiter notified when there may be a free slot
         * @return the queued request
         */
        QueuedRequest enqueue(int priority, long latestStartMillis, Waiter waiter);

        /**
         * Removes the request from the queue.
         *
         * @param queued the queued request
         */
        void remove(QueuedRequest queued);
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
         * Returns the regions in which the request may be handled.
         *
         * @return the regions
         */
        default AllowedRegions allowedRegions() {
            return AllowedRegions.any();
        }

        /**
         * Called when the wait ends because the request no longer needs to wait.
         *
         * @param decision the decision
         * @param reason the reason for sending the request, as given when the wait began
         */
        void decided(Decision decision, String reason);

        /** Called when the wait ends because the request can no longer meet its objective. */
        void expired();
    }

    /**
     * Creates a wait that has not begun.
     *
     * @param queue the queue to wait in
     * @param request the request that waits
     */
    public SlotWait(Queue queue, Request request) {
        this.queue = Objects.requireNonNull(queue, "queue is null");
        this.request = Objects.requireNonNull(request, "request is null");
    }

    /**
     * Begins to wait.
     *
     * @param priority the request's priority, 0 is the most urgent
     * @param latestStartMillis the last time at which sending it could still meet its objective
     * @param reason the reason for sending it
     */
    public void begin(int priority, long latestStartMillis, String reason) {
        attemptReason = reason;
        queued = Optional.of(queue.enqueue(priority, latestStartMillis, this));
    }

    /**
     * Returns whether the request is waiting.
     *
     * @return true from the beginning of a wait to its end
     */
    public boolean isWaiting() {
        return queued.isPresent();
    }

    @Override
    public boolean tryStart() {
        Decision decision = request.decide();
        if (decision instanceof Decision.Wait) {
            return false;
        }
        queued = Optional.empty();
        request.decided(decision, attemptReason);
        return true;
    }

    @Override
    public AllowedRegions allowedRegions() {
        return request.allowedRegions();
    }

    @Override
    public void expired() {
        queued = Optional.empty();
        request.expired();
    }

    /** Ends the wait, if there is one, because the request has ended. */
    public void end() {
        queued.ifPresent(queue::remove);
        queued = Optional.empty();
    }
}
