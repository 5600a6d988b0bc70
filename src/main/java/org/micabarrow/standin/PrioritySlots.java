package org.micabarrow.standin;

import java.util.ArrayDeque;
import java.util.Deque;

/** The places of an engine; urgent requests get the next one that comes free. */
final class PrioritySlots {

    private final Deque<Object> urgentWaiting = new ArrayDeque<>();
    private final Deque<Object> otherWaiting = new ArrayDeque<>();
    private int free;
    private int running;

    PrioritySlots(int places) {
        free = places;
    }

    synchronized void take(boolean urgent) throws InterruptedException {
        Object me = new Object();
        Deque<Object> mine = urgent ? urgentWaiting : otherWaiting;
        mine.addLast(me);
        while (free == 0 || next() != me) {
            wait();
        }
        mine.remove(me);
        free--;
        running++;
        notifyAll();
    }

    private Object next() {
        return urgentWaiting.isEmpty() ? otherWaiting.peekFirst() : urgentWaiting.peekFirst();
    }

    synchronized void give() {
        free++;
        running--;
        notifyAll();
    }

    synchronized int running() {
        return running;
    }

    synchronized int waiting() {
        return urgentWaiting.size() + otherWaiting.size();
    }
}
