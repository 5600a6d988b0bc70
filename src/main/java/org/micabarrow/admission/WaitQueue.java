package org.micabarrow.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import org.micabarrow.routing.AllowedRegions;

/**
 * A queue of requests for which no endpoint has capacity and whose responses can still be in time. Slots become free
 * many times a second, so at full load a short wait saves a request from being refused, while a request that can no
 * longer be in time is removed at once instead of taking the slot of one that can. Not thread-safe: confined to one thread.
 */
public final class WaitQueue {

    /**
     * Number of requests of one priority and the same regions that may fail to start in one pass, before the rest of them
     * are left for the next pass. Usually all of them lack the same thing, but a short prompt may find capacity where a
     * long one does not.
     */
    private static final int MAX_FAILED_STARTS = 4;

    /** Ordered by priority, then by the time until which the request can be started. */
    private final TreeSet<QueuedRequest> queue = new TreeSet<>(Comparator.comparingInt(QueuedRequest::priority)
            .thenComparingLong(QueuedRequest::latestStartMillis)
            .thenComparingLong(QueuedRequest::sequence));

    private long sequence;
    private boolean dispatching;

    /** A request that waits. */
    public interface Waiter {

        /**
         * Sends the request if there is capacity for it.
         *
         * @return whether it no longer waits
         */
        boolean tryStart();

        /**
         * Returns the regions in which the request may be handled: one that waits for a full region does not hold up
         * those that may start in another.
         *
         * @return the regions
         */
        default AllowedRegions allowedRegions() {
            return AllowedRegions.any();
        }

        /** Called after the request was removed from the queue because it can no longer meet its objective. */
        void expired();
    }

    /**
     * A request in the queue.
     *
     * @param priority its priority, 0 is the most urgent
     * @param latestStartMillis the last time at which sending it could still meet its objective, on the monotonic clock
     * @param sequence preserves the order of arrival among equals
     * @param waiter the request
     */
    public record QueuedRequest(int priority, long latestStartMillis, long sequence, Waiter waiter) {}

    /**
     * Adds a request.
     *
     * @param priority its priority, 0 is the most urgent
     * @param latestStartMillis the last time at which sending it could still meet its objective
     * @param waiter the request
     * @return the queued request, by which it can be removed
     */
    public QueuedRequest enqueue(int priority, long latestStartMillis, Waiter waiter) {
        QueuedRequest queued = new QueuedRequest(
                priority, latestStartMillis, sequence++, Objects.requireNonNull(waiter, "waiter is null"));
        queue.add(queued);
        return queued;
    }

    /**
     * Removes a request that stops waiting for another reason. Does nothing if it has been removed already.
     *
     * @param queued the queued request
     */
    public void remove(QueuedRequest queued) {
        queue.remove(queued);
    }

    /**
     * Returns the number of requests that wait.
     *
     * @return the size of the queue
     */
    public int size() {
        return queue.size();
    }

    /**
     * Returns the number of requests that wait, by priority.
     *
     * @return a copy
     */
    public Map<Integer, Integer> sizeByPriority() {
        Map<Integer, Integer> sizes = new TreeMap<>();
        queue.forEach(queued -> sizes.merge(queued.priority(), 1, Integer::sum));
        return sizes;
    }

    /**
     * Starts the requests that find capacity, in order. Called when a slot may have become free; a reentrant call does
     * nothing.
     */
    public void dispatch() {
        if (dispatching || queue.isEmpty()) {
            return;
        }
        dispatching = true;
        try {
            dispatchInOrder();
        } finally {
            dispatching = false;
        }
    }

    private void dispatchInOrder() {
        Map<AllowedRegions, Integer> failedStarts = new HashMap<>();
        int priority = Integer.MIN_VALUE;
        for (QueuedRequest queued : List.copyOf(queue)) {
            if (queued.priority() != priority) {
                priority = queued.priority();
                failedStarts.clear();
            }
            AllowedRegions regions = queued.waiter().allowedRegions();
            if (failedStarts.getOrDefault(regions, 0) == MAX_FAILED_STARTS || !queue.contains(queued)) {
                continue;
            }
            if (queued.waiter().tryStart()) {
                queue.remove(queued);
            } else {
                failedStarts.merge(regions, 1, Integer::sum);
            }
        }
    }

    /**
     * Removes and notifies the requests that can no longer meet their objective.
     *
     * @param nowMillis the time on the monotonic clock
     */
    public void expire(long nowMillis) {
        List<QueuedRequest> expired = queue.stream()
                .filter(queued -> queued.latestStartMillis() < nowMillis)
                .toList();
        expired.forEach(queued -> {
            if (queue.remove(queued)) {
                queued.waiter().expired();
            }
        });
    }
}
