package org.micabarrow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The small policies: fairness, retry budget, learned limit, subsets, relays, the share of the link. */
class PolicyTest {

    // -- FairQueue

    @Test
    void shouldShareByWeightWhenAllWait() {
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
    void shouldServeNewcomerBeforeBacklogOfLargeOrganisation() {
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
    void shouldRefuseOnlyTheOrganisationWhoseQueueIsFull() {
        FairQueue<String> queue = new FairQueue<>(2);
        assertTrue(queue.offer("large", 1, "a"));
        assertTrue(queue.offer("large", 1, "b"));
        assertFalse(queue.offer("large", 1, "c"));
        assertTrue(queue.offer("small", 1, "d"));
    }

    @Test
    void shouldKeepPlaceWhenPutBack() {
        FairQueue<String> queue = new FairQueue<>(10);
        queue.offer("a", 1, "first");
        queue.offer("a", 1, "second");
        queue.putBack(queue.poll().orElseThrow());
        assertEquals("first", queue.poll().orElseThrow().item());
    }

    // -- RetryBudget

    @Test
    void shouldAllowRetriesOnlyAsShareOfTraffic() {
        RetryBudget budget = new RetryBudget(0.1, 5);
        int retries = 0;
        for (int i = 0; i < 1000; i++) {
            budget.sent();
            retries += budget.tryRetry() ? 1 : 0;
        }
        assertTrue(retries <= 106, "retries: " + retries);
        assertTrue(retries >= 95, "retries: " + retries);
    }

    // -- ConcurrencyLimit

    @Test
    void shouldFallWhenAnswersBeginLateAndRiseWhenTheyDoNot() {
        ConcurrencyLimit limit = new ConcurrencyLimit(2, 64, 16);
        for (int i = 0; i < 50; i++) {
            limit.began(10);
        }
        for (int i = 0; i < 30; i++) {
            limit.began(200);
        }
        int fallen = limit.limit();
        assertTrue(fallen < 8, "limit: " + fallen);
        for (int i = 0; i < 500; i++) {
            fill(limit);
            limit.began(10);
        }
        assertTrue(limit.limit() > fallen);
    }

    /** The limit rises only under load. */
    private static void fill(ConcurrencyLimit limit) {
        boolean opened = true;
        while (opened) {
            opened = limit.tryOpen(true);
        }
    }

    @Test
    void shouldNeverOpenMoreThanLimitAndKeepRoomForShort() {
        ConcurrencyLimit limit = new ConcurrencyLimit(2, 64, 10);
        int longOnes = 0;
        while (limit.tryOpen(false)) {
            longOnes++;
        }
        int shortOnes = 0;
        while (limit.tryOpen(true)) {
            shortOnes++;
        }
        assertEquals(8, longOnes);
        assertEquals(2, shortOnes);
    }
}
