package org.micabarrow.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.micabarrow.admission.WaitQueue.Place;

/** The order in which requests get room, and when they give up. */
class WaitQueueTest {

    private final WaitQueue line = new WaitQueue();
    private final List<String> started = new ArrayList<>();
    private final List<String> gone = new ArrayList<>();
    private int room;

    private Place join(String name, int rank, long latestStartMillis) {
        return line.join(rank, latestStartMillis, new WaitQueue.Waiter() {
            @Override
            public boolean tryStart() {
                if (room == 0) {
                    return false;
                }
                room--;
                started.add(name);
                return true;
            }

            @Override
            public void tooLate() {
                gone.add(name);
            }
        });
    }

    @Test
    void shouldStartThoseFirstWhoseTimeRunsOutFirstWhenRoomComes() {
        join("later", 1, 300);
        join("sooner", 1, 200);
        join("urgent", 0, 400);
        line.serve();
        assertEquals(List.of(), started);
        room = 2;
        line.serve();
        assertEquals(List.of("urgent", "sooner"), started);
        assertEquals(1, line.size());
    }

    @Test
    void shouldStartInOrderOfComingWhenAllElseIsEqual() {
        join("first", 1, 200);
        join("second", 1, 200);
        room = 1;
        line.serve();
        assertEquals(List.of("first"), started);
    }

    @Test
    void shouldLetThoseGoAtOnceThatCannotBeInTimeAnyMore() {
        join("over", 1, 100);
        join("still", 1, 200);
        line.expire(101);
        assertEquals(List.of("over"), gone);
        room = 2;
        line.serve();
        assertEquals(List.of("still"), started);
        assertEquals(0, line.size());
    }

    @Test
    void shouldForgetThoseThatLeft() {
        Place place = join("left", 1, 100);
        line.leave(place);
        room = 1;
        line.serve();
        line.expire(1_000);
        assertEquals(List.of(), started);
        assertEquals(List.of(), gone);
    }

    @Test
    void shouldTryNextOnesWhenFirstFindsNoRoom() {
        line.join(1, 100, new WaitQueue.Waiter() {
            @Override
            public boolean tryStart() {
                return false;
            }

            @Override
            public void tooLate() {}
        });
        join("short", 1, 200);
        room = 1;
        line.serve();
        assertEquals(List.of("short"), started);
        assertEquals(1, line.size());
    }

    @Test
    void shouldServeOnceWhenStartingOneFreesRoom() {
        line.join(1, 100, new WaitQueue.Waiter() {
            @Override
            public boolean tryStart() {
                line.serve();
                return true;
            }

            @Override
            public void tooLate() {}
        });
        join("other", 1, 200);
        room = 1;
        line.serve();
        assertEquals(List.of("other"), started);
        assertEquals(0, line.size());
    }
}
