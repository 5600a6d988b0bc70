package org.micabarrow.coordination.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Predicate;

/**
 * Weighted fair queue of requests that wait for a free slot. The order divides the slots between organisations in
 * proportion to their weights. A request of an organisation that has no waiting requests is ordered from the current
 * virtual time, so that an organisation gains no priority from having been idle.
 *
 * <p>Thread-safe.
 *
 * <pre>{@code
 * queue.offer("riders", 1, request);
 * Optional<FairQueue.Queued<Request>> next = queue.poll();
 * }</pre>
 *
 * @param <T> the type of the waiting items
 */
public final class FairQueue<T> {

    private final int capacity;
    private final PriorityQueue<Queued<T>> waiting =
            new PriorityQueue<>(Comparator.comparingDouble((Queued<T> request) -> request.virtualFinish())
                    .thenComparingLong(Queued::sequence));
    private final Map<String, Double> lastVirtualFinish = new HashMap<>();
    private final Map<String, Integer> lengths = new HashMap<>();
    private double virtualTime;
    private long sequence;

    /**
     * Creates an empty queue.
     *
     * @param capacity the maximum number of waiting requests per organisation
     */
    public FairQueue(int capacity) {
        this.capacity = capacity;
    }

    /**
     * A waiting request with its position in the order.
     *
     * @param organisation the organisation that sent it
     * @param virtualFinish its virtual finish time, by which requests are ordered
     * @param sequence the order of arrival, which decides between equal finish times
     * @param item the request
     * @param <T> the type of the waiting items
     */
    public record Queued<T>(String organisation, double virtualFinish, long sequence, T item) {}

    /**
     * Adds a request.
     *
     * @param organisation the organisation that sent it
     * @param weight the organisation's weight
     * @param item the request
     * @return false if the maximum number of the organisation's requests is waiting already
     */
    public synchronized boolean offer(String organisation, int weight, T item) {
        if (lengths.getOrDefault(organisation, 0) >= capacity) {
            return false;
        }
        double cost = 1.0 / Math.max(1, weight);
        double virtualFinish = Math.max(virtualTime, lastVirtualFinish.getOrDefault(organisation, 0.0)) + cost;
        lastVirtualFinish.put(organisation, virtualFinish);
        lengths.merge(organisation, 1, Integer::sum);
        waiting.add(new Queued<>(organisation, virtualFinish, sequence++, item));
        return true;
    }

    /**
     * Removes the next request.
     *
     * @return the request with its position, if any is waiting
     */
    public synchronized Optional<Queued<T>> poll() {
        Queued<T> next = waiting.poll();
        if (next == null) {
            lastVirtualFinish.clear();
            return Optional.empty();
        }
        virtualTime = Math.max(virtualTime, next.virtualFinish());
        lengths.merge(next.organisation(), -1, Integer::sum);
        return Optional.of(next);
    }

    /**
     * Puts a request back at its former position.
     *
     * @param removed the request that {@link #poll} returned
     */
    public synchronized void putBack(Queued<T> removed) {
        lengths.merge(removed.organisation(), 1, Integer::sum);
        waiting.add(removed);
    }

    /**
     * Removes all requests that match a predicate.
     *
     * @param predicate selects the requests to remove
     * @return the removed requests
     */
    public synchronized List<T> removeIf(Predicate<T> predicate) {
        List<Queued<T>> matches = waiting.stream()
                .filter(request -> predicate.test(request.item()))
                .toList();
        waiting.removeAll(matches);
        matches.forEach(request -> lengths.merge(request.organisation(), -1, Integer::sum));
        return matches.stream().map(Queued::item).toList();
    }

    /**
     * The number of waiting requests.
     *
     * @return the count
     */
    public synchronized int size() {
        return waiting.size();
    }
}
