package org.micabarrow.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class EntryCountTest {

    private final EntryCount entries = new EntryCount();

    @Test
    void shouldAssumeDefaultWhenNothingWasReported() {
        assertEquals(EntryCount.DEFAULT_COUNT, entries.count());
    }

    @Test
    void shouldUseFirstReport() {
        entries.reported(5, 0);
        assertEquals(5, entries.count());
    }

    @Test
    void shouldIgnoreLowerReportOfOneAgent() {
        entries.reported(13, 1_000);
        entries.reported(2, 1_100);
        entries.reported(13, 3_000);
        entries.reported(2, 5_900);
        assertEquals(13, entries.count());
    }

    @Test
    void shouldAdaptWhenAllReportsAreLower() {
        entries.reported(13, 1_000);
        for (long now = 1_100; now < 5_000; now += 150) {
            entries.reported(12, now);
        }
        assertEquals(12, entries.count());
    }
}
