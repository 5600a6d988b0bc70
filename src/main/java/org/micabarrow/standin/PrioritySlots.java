package org.micabarrow.standin;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Concurrency slots of an engine. Urgent requests take precedence over normal ones; each class is served in FIFO order.
 */
final class PrioritySlots {

    private final Deque<Object> urgentWaiting = new ArrayDeque<>();
    private final Deque<Object> normalWaiting = new ArrayDeque<>();
    private int free;
    private int running;

    PrioritySlots(int places) {
        free = places;
    }

    synchronized void acquire(boolean urgent) throws InterruptedException {
        Object ticket = new Object();
        Deque<Object> queue = urgent ? urgentWaiting : normalWaiting;
        queue.addLast(ticket);
        while (free == 0 || nextTicket() != ticket) {
            wait();
        }
        queue.remove(ticket);
        free--;
        running++;
        notifyAll();
    }

    private Object nextTicket() {
        return urgentWaiting.isEmpty() ? normalWaiting.peekFirst() : urgentWaiting.peekFirst();
    }

    synchronized void release() {
        free++;
        running--;
        notifyAll();
    }

    synchronized int running() {
        return running;
    }

    synchronized int waiting() {
        return urgentWaiting.size() + normalWaiting.size();
    }
}
