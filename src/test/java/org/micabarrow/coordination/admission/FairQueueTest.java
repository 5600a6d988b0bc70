package org.micabarrow.coordination.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Checks that waiting organisations are served in proportion to their weights. */
class FairQueueTest {

    @Test
    void shouldServeInProportionToWeightsWhenAllWait() {
        FairQueue<String> queue = new FairQueue<>(1000);
        for (int i = 0; i < 300; i++) {
            queue.offer("large", 1, "large");
            queue.offer("double", 2, "double");
        }
        Map<String, Integer> served = new HashMap<>();
        for (int i = 0; i < 300; i++) {
            served.merge(queue.poll().orElseThrow().item(), 1, Integer::sum);
        }
        assertEquals(100, served.get("large"), 1);
        assertEquals(200, served.get("double"), 1);
    }

    @Test
    void shouldServeNewOrganisationBeforeBacklogOfAnother() {
        FairQueue<String> queue = new FairQueue<>(1000);
        for (int i = 0; i < 500; i++) {
            queue.offer("large", 1, "large");
        }
        for (int i = 0; i < 100; i++) {
            queue.poll();
        }
        queue.offer("small", 1, "small");
        List<String> next = List.of(
                queue.poll().orElseThrow().item(), queue.poll().orElseThrow().item());
        assertTrue(next.contains("small"), next.toString());
    }

    @Test
    void shouldRefuseOnlyOrganisationWhenItsQueueIsFull() {
        FairQueue<String> queue = new FairQueue<>(2);
        assertTrue(queue.offer("large", 1, "a"));
        assertTrue(queue.offer("large", 1, "b"));
        assertFalse(queue.offer("large", 1, "c"));
        assertTrue(queue.offer("small", 1, "d"));
    }

    @Test
    void shouldKeepPositionWhenPutBack() {
        FairQueue<String> queue = new FairQueue<>(10);
        queue.offer("a", 1, "first");
        queue.offer("a", 1, "second");
        queue.putBack(queue.poll().orElseThrow());
        assertEquals("first", queue.poll().orElseThrow().item());
    }
}
