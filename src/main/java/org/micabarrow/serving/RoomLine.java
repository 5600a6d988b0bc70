package org.micabarrow.serving;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.micabarrow.admission.SlotWait;
import org.micabarrow.admission.WaitQueue;
import org.micabarrow.admission.WaitQueue.QueuedRequest;
import org.micabarrow.admission.WaitQueue.Waiter;
import org.micabarrow.steps.RepeatedTasks;
import org.xnio.XnioIoThread;

/** The entry's requests that wait for room, looked through whenever a place may have fallen free. */
final class RoomLine {

    /**
     * How often the line is looked through while requests wait, in milliseconds, besides when one of the entry's own requests
     * frees its place: what agents tell may show room, and the time of those that wait runs out. A tenth of the shortest wait.
     */
    private static final long LOOK_MILLIS = 10;

    private final WaitQueue line = new WaitQueue();
    private final LongSupplier steadyMillis;
    private boolean looking;

    RoomLine(LongSupplier steadyMillis) {
        this.steadyMillis = steadyMillis;
    }

    QueuedRequest join(int rank, long latestStartMillis, Waiter waiter, XnioIoThread thread) {
        QueuedRequest place = line.enqueue(rank, latestStartMillis, waiter);
        if (!looking) {
            looking = true;
            thread.executeAfter(() -> look(thread), LOOK_MILLIS, TimeUnit.MILLISECONDS);
        }
        return place;
    }

    /** The line for the requests of a thread. */
    SlotWait.Queue on(XnioIoThread thread) {
        return new SlotWait.Queue() {
            @Override
            public QueuedRequest enqueue(int rank, long latestStartMillis, Waiter waiter) {
                return RoomLine.this.join(rank, latestStartMillis, waiter, thread);
            }

            @Override
            public void remove(QueuedRequest place) {
                RoomLine.this.leave(place);
            }
        };
    }

    void leave(QueuedRequest place) {
        line.remove(place);
    }

    int size() {
        return line.size();
    }

    /** One of the entry's requests has begun to be answered, or has left its endpoint. A fault in who waits is not its own. */
    void roomMayBe() {
        RepeatedTasks.runGuarded("room", line::dispatch);
    }

    private void look(XnioIoThread thread) {
        RepeatedTasks.runGuarded("expire", () -> line.expire(steadyMillis.getAsLong()));
        roomMayBe();
        looking = line.size() > 0;
        if (looking) {
            thread.executeAfter(() -> look(thread), LOOK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
