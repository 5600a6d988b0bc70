package org.micabarrow.serving;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.micabarrow.admission.SlotWait;
import org.micabarrow.admission.WaitQueue;
import org.micabarrow.admission.WaitQueue.Place;
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

    Place join(int rank, long latestStartMillis, Waiter waiter, XnioIoThread thread) {
        Place place = line.join(rank, latestStartMillis, waiter);
        if (!looking) {
            looking = true;
            thread.executeAfter(() -> look(thread), LOOK_MILLIS, TimeUnit.MILLISECONDS);
        }
        return place;
    }

    /** The line for the requests of a thread. */
    SlotWait.Line on(XnioIoThread thread) {
        return new SlotWait.Line() {
            @Override
            public Place join(int rank, long latestStartMillis, Waiter waiter) {
                return RoomLine.this.join(rank, latestStartMillis, waiter, thread);
            }

            @Override
            public void leave(Place place) {
                RoomLine.this.leave(place);
            }
        };
    }

    void leave(Place place) {
        line.leave(place);
    }

    int size() {
        return line.size();
    }

    /** One of the entry's requests has begun to be answered, or has left its endpoint. A fault in who waits is not its own. */
    void roomMayBe() {
        RepeatedTasks.guarded("room", line::serve);
    }

    private void look(XnioIoThread thread) {
        RepeatedTasks.guarded("expire", () -> line.expire(steadyMillis.getAsLong()));
        roomMayBe();
        looking = line.size() > 0;
        if (looking) {
            thread.executeAfter(() -> look(thread), LOOK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
