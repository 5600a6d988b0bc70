package org.micabarrow.coordination.requests;

import java.time.InstantSource;
import java.util.Optional;
import org.micabarrow.coordination.admission.FairQueue;

/** Requests of one kind that wait for one placement, with how fast they get their turn. */
final class PlacementQueue {

    /**
     * The most requests of one kind that wait for one placement; further ones are refused, so that memory is bounded.
     */
    private static final int MOST_WAITING = 256;

    /** The weight of the newest gap between two turns in their moving average. */
    private static final double WEIGHT_OF_NEWEST = 0.1;

    /**
     * The longest gap that counts, in milliseconds, so that an idle time does not look like a slow queue.
     */
    private static final double MOST_GAP_MILLIS = 1_000;

    private final InstantSource clock;
    private final FairQueue<RequestRun> queue = new FairQueue<>(MOST_WAITING);
    private double gapMillis;
    private long lastMillis;

    PlacementQueue(InstantSource clock) {
        this.clock = clock;
    }

    /** How many requests wait. */
    int size() {
        return queue.size();
    }

    /** Lets a request wait, unless there are too many already. */
    boolean offer(RequestRun run) {
        return queue.offer(
                run.request().organisation().name(),
                run.request().organisation().weight(),
                run);
    }

    /** How long a request that comes now is likely to wait, from how fast others got their turn. */
    synchronized long expectedWaitMillis() {
        return Math.round(queue.size() * gapMillis);
    }

    private synchronized void left() {
        long now = clock.millis();
        if (lastMillis > 0) {
            double gap = Math.min(MOST_GAP_MILLIS, now - lastMillis);
            gapMillis = gapMillis * (1 - WEIGHT_OF_NEWEST) + gap * WEIGHT_OF_NEWEST;
        }
        lastMillis = now;
    }

    /** Ends those that have waited enough, and lets the others try again in their order until there is no room. */
    void wake() {
        queue.removeIf(RequestRun::waitedEnough).forEach(RequestRun::tryAgain);
        int most = queue.size();
        for (int i = 0; i < most; i++) {
            Optional<FairQueue.Waiting<RequestRun>> next = queue.poll();
            if (next.isEmpty()) {
                return;
            }
            if (!next.get().item().tryAgain()) {
                queue.putBack(next.get());
                return;
            }
            left();
        }
    }
}
