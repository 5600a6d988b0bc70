package org.micabarrow.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.micabarrow.admission.WaitQueue.QueuedRequest;
import org.micabarrow.routing.AllowedRegions;

class WaitQueueTest {

    private final WaitQueue queue = new WaitQueue();
    private final List<String> started = new ArrayList<>();
    private final List<String> expired = new ArrayList<>();
    private int freeSlots;

    private QueuedRequest enqueue(String name, int priority, long latestStartMillis) {
        return queue.enqueue(priority, latestStartMillis, new WaitQueue.Waiter() {
            @Override
            public boolean tryStart() {
                if (freeSlots == 0) {
                    return false;
                }
                freeSlots--;
                started.add(name);
                return true;
            }

            @Override
            public void expired() {
                expired.add(name);
            }
        });
    }

    @Test
    void shouldStartByPriorityAndExpiryWhenCapacityIsFreed() {
        enqueue("later", 1, 300);
        enqueue("sooner", 1, 200);
        enqueue("urgent", 0, 400);
        queue.dispatch();
        assertEquals(List.of(), started);
        freeSlots = 2;
        queue.dispatch();
        assertEquals(List.of("urgent", "sooner"), started);
        assertEquals(1, queue.size());
    }

    /** A waiter for one region, which starts if the region is not full. */
    private record Regional(String region, boolean full, List<String> started) implements WaitQueue.Waiter {

        @Override
        public boolean tryStart() {
            if (!full) {
                started.add(region);
            }
            return !full;
        }

        @Override
        public AllowedRegions allowedRegions() {
            return AllowedRegions.only(Set.of(region));
        }

        @Override
        public void expired() {}
    }

    @Test
    void shouldStartRequestOfOtherRegionWhenManyWaitForFullRegion() {
        for (int i = 0; i < 20; i++) {
            queue.enqueue(1, 100, new Regional("full", true, started));
        }
        queue.enqueue(1, 200, new Regional("other", false, started));
        queue.dispatch();
        assertEquals(List.of("other"), started);
    }

    @Test
    void shouldStartInOrderOfArrivalWhenAllElseIsEqual() {
        enqueue("first", 1, 200);
        enqueue("second", 1, 200);
        freeSlots = 1;
        queue.dispatch();
        assertEquals(List.of("first"), started);
    }

    @Test
    void shouldExpireRequestsWhenTheyCanNoLongerBeInTime() {
        enqueue("over", 1, 100);
        enqueue("still", 1, 200);
        queue.expire(101);
        assertEquals(List.of("over"), expired);
        freeSlots = 2;
        queue.dispatch();
        assertEquals(List.of("still"), started);
        assertEquals(0, queue.size());
    }

    @Test
    void shouldNotNotifyRequestsWhenTheyWereRemoved() {
        QueuedRequest queued = enqueue("left", 1, 100);
        queue.remove(queued);
        freeSlots = 1;
        queue.dispatch();
        queue.expire(1_000);
        assertEquals(List.of(), started);
        assertEquals(List.of(), expired);
    }

    @Test
    void shouldTryNextRequestsWhenFirstFindsNoCapacity() {
        queue.enqueue(1, 100, new WaitQueue.Waiter() {
            @Override
            public boolean tryStart() {
                return false;
            }

            @Override
            public void expired() {}
        });
        enqueue("short", 1, 200);
        freeSlots = 1;
        queue.dispatch();
        assertEquals(List.of("short"), started);
        assertEquals(1, queue.size());
    }

    @Test
    void shouldTryOtherPrioritiesWhenMoreUrgentOnesFindNoCapacity() {
        for (int i = 0; i < 6; i++) {
            queue.enqueue(0, 100 + i, new WaitQueue.Waiter() {
                @Override
                public boolean tryStart() {
                    return false;
                }

                @Override
                public void expired() {}
            });
        }
        enqueue("less urgent", 1, 200);
        freeSlots = 1;
        queue.dispatch();
        assertEquals(List.of("less urgent"), started);
        assertEquals(Map.of(0, 6), queue.sizeByPriority());
    }

    @Test
    void shouldDispatchOnceWhenStartingRequestFreesCapacity() {
        queue.enqueue(1, 100, new WaitQueue.Waiter() {
            @Override
            public boolean tryStart() {
                queue.dispatch();
                return true;
            }

            @Override
            public void expired() {}
        });
        enqueue("other", 1, 200);
        freeSlots = 1;
        queue.dispatch();
        assertEquals(List.of("other"), started);
        assertEquals(0, queue.size());
    }
}
