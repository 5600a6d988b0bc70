package org.micabarrow.play;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Time of a play: what is to happen, in order. */
final class Events {

    private final PriorityQueue<Event> coming =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis).thenComparingLong(Event::sequence));
    private double nowMillis;
    private long sequence;

    private record Event(double atMillis, long sequence, Runnable what) {}

    long nowMillis() {
        return (long) nowMillis;
    }

    double now() {
        return nowMillis;
    }

    void after(double millis, Runnable what) {
        coming.add(new Event(nowMillis + millis, sequence++, what));
    }

    /** Plays until nothing is to happen before a time. */
    void playUntil(double endMillis) {
        while (!coming.isEmpty() && coming.peek().atMillis() <= endMillis) {
            Event next = coming.poll();
            nowMillis = next.atMillis();
            next.what().run();
        }
    }
}
