package org.micabarrow.serving;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.micabarrow.admission.SlotWait;
import org.micabarrow.admission.WaitQueue;
import org.micabarrow.admission.WaitQueue.QueuedRequest;
import org.micabarrow.admission.WaitQueue.Waiter;
import org.micabarrow.steps.RepeatedTasks;
import org.xnio.XnioIoThread;

/**
 * The queue of this entry's requests that wait for a free slot. It is polled, and also served whenever a slot may have
 * become free.
 */
final class EntryWaitQueue {

    /**
     * The poll interval while requests wait, in milliseconds: a tenth of the shortest wait. Besides slots that the
     * entry's own requests free, which are noticed at once, reports of agents may show free slots, and waiting requests
     * expire.
     */
    private static final long POLL_MILLIS = 10;

    private final WaitQueue queue = new WaitQueue();
    private final LongSupplier monotonicMillis;
    private boolean polling;

    EntryWaitQueue(LongSupplier monotonicMillis) {
        this.monotonicMillis = monotonicMillis;
    }

    QueuedRequest join(int rank, long latestStartMillis, Waiter waiter, XnioIoThread thread) {
        QueuedRequest queued = queue.enqueue(rank, latestStartMillis, waiter);
        if (!polling) {
            polling = true;
            thread.executeAfter(() -> poll(thread), POLL_MILLIS, TimeUnit.MILLISECONDS);
        }
        return queued;
    }

    /** The queue as seen by the requests of one thread. */
    SlotWait.Queue forThread(XnioIoThread thread) {
        return new SlotWait.Queue() {
            @Override
            public QueuedRequest enqueue(int rank, long latestStartMillis, Waiter waiter) {
                return EntryWaitQueue.this.join(rank, latestStartMillis, waiter, thread);
            }

            @Override
            public void remove(QueuedRequest queued) {
                EntryWaitQueue.this.leave(queued);
            }
        };
    }

    void leave(QueuedRequest queued) {
        queue.remove(queued);
    }

    int size() {
        return queue.size();
    }

    Map<Integer, Integer> sizeByPriority() {
        return queue.sizeByPriority();
    }

    /**
     * Serves the queue after a response has begun or a request has left its endpoint. Exceptions of waiting requests
     * are not propagated to that request.
     */
    void onSlotFreed() {
        RepeatedTasks.runGuarded("room", queue::dispatch);
    }

    private void poll(XnioIoThread thread) {
        RepeatedTasks.runGuarded("expire", () -> queue.expire(monotonicMillis.getAsLong()));
        onSlotFreed();
        polling = queue.size() > 0;
        if (polling) {
            thread.executeAfter(() -> poll(thread), POLL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
