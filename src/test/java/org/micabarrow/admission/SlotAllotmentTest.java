package org.micabarrow.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class SlotAllotmentTest {

    private static SlotAllotment seeded(long seed) {
        return new SlotAllotment(new Random(seed));
    }

    @Test
    void shouldAllotAllFreeSlotsWhenOneEntryQueries() {
        int allotted = seeded(1).allot("a", 0, 5, 0);
        assertTrue(allotted == 5 || allotted == 6, "the initial fraction of a slot may add one: " + allotted);
    }

    @Test
    void shouldNotAllotAllSlotsAtOnceWhenEndpointIsEmpty() {
        assertEquals(6, SlotAllotment.allottable(16, 0));
        assertEquals(4, SlotAllotment.allottable(16, 12));
        assertEquals(0, SlotAllotment.allottable(16, 19));
        assertEquals(1, SlotAllotment.allottable(1, 0), "a single slot is allotted whole");
    }

    @Test
    void shouldAllotNothingWhenNoSlotIsFree() {
        SlotAllotment allotment = seeded(1);
        assertEquals(0, allotment.allot("a", 3, 0, 0));
        assertEquals(0, allotment.allot("a", 3, -4, 10), "more requests than slots");
    }

    @Test
    void shouldAllotInProportionToRequestsRefusedByEntries() {
        SlotAllotment allotment = seeded(1);
        int toA = 0;
        int toB = 0;
        for (int round = 0; round < 400; round++) {
            toA += allotment.allot("a", 29, 1, round * 100L);
            toB += allotment.allot("b", 9, 1, round * 100L);
        }
        assertEquals(300, toA, 4);
        assertEquals(100, toB, 4);
    }

    @Test
    void shouldNotCountEntryWhenItsLastQueryHasExpired() {
        SlotAllotment allotment = seeded(1);
        allotment.allot("gone", 99, 10, 0);
        assertTrue(allotment.allot("a", 0, 10, 2_000) >= 10);
    }

    /** A single free slot is allotted to one entry at a time, not to all of them at once. */
    @Property(tries = 200, seed = "7")
    void shouldNotAllotOneSlotToAllWhenManyEntriesQuery(
            @ForAll @IntRange(min = 2, max = 20) int entries, @ForAll long seed) {
        SlotAllotment allotment = seeded(seed);
        int all = 0;
        int rounds = 40;
        for (int round = 0; round < rounds; round++) {
            for (int entry = 0; entry < entries; entry++) {
                all += allotment.allot("e" + entry, 0, 1, round * 150L);
            }
        }
        // Until all entries are known, the first ones get more; each begins with a fraction of a slot.
        assertTrue(all <= rounds + 2 * entries, "dealt " + all + " in " + rounds + " rounds to " + entries);
    }
}
