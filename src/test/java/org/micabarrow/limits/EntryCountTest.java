package org.micabarrow.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class EntryCountTest {

    private final EntryCount entries = new EntryCount();

    @Test
    void shouldAssumeManyWhenNobodyTold() {
        assertEquals(EntryCount.ASSUMED, entries.count());
    }

    @Test
    void shouldGoByWhatWasToldFirst() {
        entries.told(5, 0);
        assertEquals(5, entries.count());
    }

    @Test
    void shouldNotCountAgentThatHearsOfFewer() {
        entries.told(13, 1_000);
        entries.told(2, 1_100);
        entries.told(13, 3_000);
        entries.told(2, 5_900);
        assertEquals(13, entries.count());
    }

    @Test
    void shouldFollowWhenAllTellOfFewer() {
        entries.told(13, 1_000);
        for (long now = 1_100; now < 5_000; now += 150) {
            entries.told(12, now);
        }
        assertEquals(12, entries.count());
    }
}
