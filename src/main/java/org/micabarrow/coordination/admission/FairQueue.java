package org.micabarrow.coordination.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Predicate;

/**
 * Requests that wait for room, in an order that shares the room between organisations by weight. A request that comes
 * while its organisation has nothing waiting starts level with the others, so that an idle organisation gains no later precedence.
 *
 * <p>Safe for any number of threads.
 *
 * <pre>{@code
 * queue.offer("taller", 1, run);
 * Optional<FairQueue.Waiting<Run>> next = queue.poll();
 * }</pre>
 *
 * @param <T> what waits
 */
public final class FairQueue<T> {

    private final int capacity;
    private final PriorityQueue<Waiting<T>> waiting = new PriorityQueue<>(
            Comparator.comparingDouble((Waiting<T> one) -> one.tag()).thenComparingLong(Waiting::sequence));
    private final Map<String, Double> lastTags = new HashMap<>();
    private final Map<String, Integer> lengths = new HashMap<>();
    private double now;
    private long sequence;

    /**
     * Makes an empty queue.
     *
     * @param capacity how many requests may wait for each organisation
     */
    public FairQueue(int capacity) {
        this.capacity = capacity;
    }

    /**
     * A request with its place in the order.
     *
     * @param organisation who asks
     * @param tag its place
     * @param sequence decides between equal places
     * @param item the request
     * @param <T> what waits
     */
    public record Waiting<T>(String organisation, double tag, long sequence, T item) {}

    /**
     * Adds a request.
     *
     * @param organisation who asks
     * @param weight the organisation's share
     * @param item the request
     * @return false if too many of the organisation's requests wait already
     */
    public synchronized boolean offer(String organisation, int weight, T item) {
        if (lengths.getOrDefault(organisation, 0) >= capacity) {
            return false;
        }
        double cost = 1.0 / Math.max(1, weight);
        double tag = Math.max(now, lastTags.getOrDefault(organisation, 0.0)) + cost;
        lastTags.put(organisation, tag);
        lengths.merge(organisation, 1, Integer::sum);
        waiting.add(new Waiting<>(organisation, tag, sequence++, item));
        return true;
    }

    /**
     * Takes the next request.
     *
     * @return the request with its place, if any waits
     */
    public synchronized Optional<Waiting<T>> poll() {
        Waiting<T> next = waiting.poll();
        if (next == null) {
            lastTags.clear();
            return Optional.empty();
        }
        now = Math.max(now, next.tag());
        lengths.merge(next.organisation(), -1, Integer::sum);
        return Optional.of(next);
    }

    /**
     * Puts a request back into the place that it had.
     *
     * @param taken what {@link #poll} gave
     */
    public synchronized void putBack(Waiting<T> taken) {
        lengths.merge(taken.organisation(), 1, Integer::sum);
        waiting.add(taken);
    }

    /**
     * Takes out all requests for which there is no more use in waiting.
     *
     * @param over tells which
     * @return those taken out
     */
    public synchronized List<T> removeIf(Predicate<T> over) {
        List<Waiting<T>> gone =
                waiting.stream().filter(one -> over.test(one.item())).toList();
        waiting.removeAll(gone);
        gone.forEach(one -> lengths.merge(one.organisation(), -1, Integer::sum));
        return gone.stream().map(Waiting::item).toList();
    }

    /**
     * The number of requests that wait.
     *
     * @return the length
     */
    public synchronized int size() {
        return waiting.size();
    }
}
