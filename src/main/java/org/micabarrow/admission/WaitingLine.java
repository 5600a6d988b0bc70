package org.micabarrow.admission;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.TreeSet;

/**
 * A queue of requests for which no endpoint has capacity and whose responses can still be in time. Slots become free
 * many times a second, so at full load a short wait saves a request from being refused, while a request that can no
 * longer be in time leaves at once instead of taking the slot of one that can. Not thread-safe: confined to one thread.
 */
public final class WaitingLine {

    /**
     * Number of requests that may fail to start in one pass, before the rest are left for the next pass. Usually all of
     * them lack the same thing, but a short prompt may find capacity where a long one does not.
     */
    private static final int TRIED_IN_VAIN = 4;

    /** Ordered by priority, then by the time until which the request can be started. */
    private final TreeSet<Place> places = new TreeSet<>(Comparator.comparingInt(Place::rank)
            .thenComparingLong(Place::latestStartMillis)
            .thenComparingLong(Place::sequence));

    private long sequence;
    private boolean serving;

    /** A request that waits. */
    public interface Waiter {

        /**
         * Sends the request if there is capacity for it.
         *
         * @return whether it no longer waits
         */
        boolean tryStart();

        /** Called after the request was removed from the queue because it can no longer meet its objective. */
        void tooLate();
    }

    /**
     * A request in the queue.
     *
     * @param priority its priority, 0 is the most urgent
     * @param latestStartMillis the last time at which sending it could still meet its objective, on the monotonic clock
     * @param sequence preserves the order of arrival among equals
     * @param waiter the request
     */
    public record Place(int rank, long latestStartMillis, long sequence, Waiter waiter) {}

    /**
     * Adds a request.
     *
     * @param priority its priority, 0 is the most urgent
     * @param latestStartMillis the last time at which sending it could still meet its objective
     * @param waiter the request
     * @return the queued request, by which it can be removed
     */
    public Place join(int rank, long latestStartMillis, Waiter waiter) {
        Place place = new Place(rank, latestStartMillis, sequence++, Objects.requireNonNull(waiter, "waiter is null"));
        places.add(place);
        return place;
    }

    /**
     * Removes a request that stops waiting for another reason. Does nothing if it has been removed already.
     *
     * @param queued the queued request
     */
    public void leave(Place place) {
        places.remove(place);
    }

    /**
     * Returns the number of requests that wait.
     *
     * @return the size of the queue
     */
    public int size() {
        return places.size();
    }

    /**
     * Starts the requests that find capacity, in order. Called when a slot may have become free; a reentrant call does
     * nothing.
     */
    public void serve() {
        if (serving || places.isEmpty()) {
            return;
        }
        serving = true;
        try {
            serveInOrder();
        } finally {
            serving = false;
        }
    }

    private void serveInOrder() {
        int inVain = 0;
        for (Place place : List.copyOf(places)) {
            if (inVain == TRIED_IN_VAIN) {
                return;
            }
            if (!places.contains(place)) {
                continue;
            }
            if (place.waiter().tryStart()) {
                places.remove(place);
            } else {
                inVain++;
            }
        }
    }

    /**
     * Removes and notifies the requests that can no longer meet their objective.
     *
     * @param nowMillis the time on the monotonic clock
     */
    public void expire(long nowMillis) {
        List<Place> over = places.stream()
                .filter(place -> place.latestStartMillis() < nowMillis)
                .toList();
        over.forEach(place -> {
            if (places.remove(place)) {
                place.waiter().tooLate();
            }
        });
    }
}
