package org.micabarrow.coordination.requests;

import java.time.InstantSource;
import java.util.Optional;
import org.micabarrow.coordination.admission.FairQueue;

/** Queue of requests of one kind (short or long) for one placement, with an estimate of the wait. */
final class PlacementQueue {

    /** The maximum number of waiting requests per organisation. Further ones are refused, so that memory is bounded. */
    private static final int MAX_WAITING = 256;

    /** The weight of the newest interval between two dequeued requests in the moving average. */
    private static final double SMOOTHING_FACTOR = 0.1;

    /** The upper limit for an interval, in milliseconds, so that an idle period does not count as a slow queue. */
    private static final double MAX_INTERVAL_MILLIS = 1_000;

    private final InstantSource clock;
    private final FairQueue<RequestExecution> queue = new FairQueue<>(MAX_WAITING);
    private double averageIntervalMillis;
    private long lastDequeueMillis;

    PlacementQueue(InstantSource clock) {
        this.clock = clock;
    }

    /** The number of waiting requests. */
    int size() {
        return queue.size();
    }

    /** Adds a request; false if too many requests of its organisation are waiting already. */
    boolean offer(RequestExecution execution) {
        return queue.offer(
                execution.request().organisation().name(),
                execution.request().organisation().weight(),
                execution);
    }

    /** The expected wait of a request that is added now, from the rate at which others were dequeued. */
    synchronized long expectedWaitMillis() {
        return Math.round(queue.size() * averageIntervalMillis);
    }

    private synchronized void recordDequeue() {
        long now = clock.millis();
        if (lastDequeueMillis > 0) {
            double interval = Math.min(MAX_INTERVAL_MILLIS, now - lastDequeueMillis);
            averageIntervalMillis = averageIntervalMillis * (1 - SMOOTHING_FACTOR) + interval * SMOOTHING_FACTOR;
        }
        lastDequeueMillis = now;
    }

    /** Ends the requests whose wait is over, then dispatches the others in order until there is no free slot. */
    void dispatchWaiting() {
        queue.removeIf(RequestExecution::isWaitOver).forEach(RequestExecution::tryDispatch);
        int waiting = queue.size();
        for (int i = 0; i < waiting; i++) {
            Optional<FairQueue.Queued<RequestExecution>> next = queue.poll();
            if (next.isEmpty()) {
                return;
            }
            if (!next.get().item().tryDispatch()) {
                queue.putBack(next.get());
                return;
            }
            recordDequeue();
        }
    }
}
