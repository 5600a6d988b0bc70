package org.micabarrow.admission;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.TreeSet;

/**
 * Requests for which no endpoint has room, and whose answers can still be in time. Places fall free many times a second, so
 * at full load a short wait saves a request from being refused, while what cannot be in time any more leaves at once instead
 * of taking the place of one that can. Used by one thread.
 */
public final class WaitQueue {

    /**
     * How many requests are tried in vain whenever a place may have fallen free, before the rest are left for the next time:
     * mostly what one of them lacks all of them lack, but a short prompt may find room where a long one does not.
     */
    private static final int TRIED_IN_VAIN = 4;

    /** The more urgent first, and of these the one whose time runs out first. */
    private final TreeSet<Place> places = new TreeSet<>(Comparator.comparingInt(Place::rank)
            .thenComparingLong(Place::latestStartMillis)
            .thenComparingLong(Place::sequence));

    private long sequence;
    private boolean serving;

    /** A request that waits. */
    public interface Waiter {

        /**
         * Sends the request if there is room for it.
         *
         * @return whether it waits no more
         */
        boolean tryStart();

        /** The request cannot be in time any more, and has left the line. */
        void tooLate();
    }

    /**
     * A request's place in the line.
     *
     * @param rank its rank, 0 first
     * @param latestStartMillis the last moment at which sending it could still bring an answer in time, on the steady clock
     * @param sequence decides between equals
     * @param waiter the request
     */
    public record Place(int rank, long latestStartMillis, long sequence, Waiter waiter) {}

    /**
     * Adds a request.
     *
     * @param rank its rank, 0 first
     * @param latestStartMillis the last moment at which sending it could still bring an answer in time
     * @param waiter the request
     * @return its place, with which it can leave
     */
    public Place join(int rank, long latestStartMillis, Waiter waiter) {
        Place place = new Place(rank, latestStartMillis, sequence++, Objects.requireNonNull(waiter, "waiter is null"));
        places.add(place);
        return place;
    }

    /**
     * Takes a request out that waits for another reason no more; nothing happens if it has left already.
     *
     * @param place its place
     */
    public void leave(Place place) {
        places.remove(place);
    }

    /**
     * The requests that wait.
     *
     * @return their number
     */
    public int size() {
        return places.size();
    }

    /** A place may have fallen free: starts what finds room, in order. Does nothing when called from within itself. */
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
     * Lets those leave that cannot be in time any more.
     *
     * @param nowMillis the time on the steady clock
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
