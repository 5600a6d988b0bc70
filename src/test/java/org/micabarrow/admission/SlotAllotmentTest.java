package org.micabarrow.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Free places as an agent deals them out. */
class SlotAllotmentTest {

    private static SlotAllotment seeded(long seed) {
        return new SlotAllotment(new Random(seed));
    }

    @Test
    void shouldDealAllFreePlacesWhenOneEntryAsks() {
        int dealt = seeded(1).deal("a", 0, 5, 0);
        assertTrue(dealt == 5 || dealt == 6, "the part of a place that it begins with may make one more: " + dealt);
    }

    @Test
    void shouldNotDealAllPlacesAtOnceWhenEndpointIsEmpty() {
        assertEquals(6, SlotAllotment.dealable(16, 0));
        assertEquals(4, SlotAllotment.dealable(16, 12));
        assertEquals(0, SlotAllotment.dealable(16, 19));
        assertEquals(1, SlotAllotment.dealable(1, 0), "a single place is dealt out whole");
    }

    @Test
    void shouldDealNothingWhenNothingIsFree() {
        SlotAllotment shares = seeded(1);
        assertEquals(0, shares.deal("a", 3, 0, 0));
        assertEquals(0, shares.deal("a", 3, -4, 10), "more requests than slots");
    }

    @Test
    void shouldDealInProportionToWhatEntriesTurnedAway() {
        SlotAllotment shares = seeded(1);
        int toA = 0;
        int toB = 0;
        for (int round = 0; round < 400; round++) {
            toA += shares.deal("a", 29, 1, round * 100L);
            toB += shares.deal("b", 9, 1, round * 100L);
        }
        assertEquals(300, toA, 4);
        assertEquals(100, toB, 4);
    }

    @Test
    void shouldCountEntryNoMoreWhenItHasNotAskedForAWhile() {
        SlotAllotment shares = seeded(1);
        shares.deal("gone", 99, 10, 0);
        assertTrue(shares.deal("a", 0, 10, 2_000) >= 10);
    }

    /** One place that stays free goes to one entry at a time, not to all of them at once. */
    @Property(tries = 200, seed = "7")
    void shouldNotDealOnePlaceToAllWhenManyAsk(@ForAll @IntRange(min = 2, max = 20) int entries, @ForAll long seed) {
        SlotAllotment shares = seeded(seed);
        int all = 0;
        int rounds = 40;
        for (int round = 0; round < rounds; round++) {
            for (int entry = 0; entry < entries; entry++) {
                all += shares.deal("e" + entry, 0, 1, round * 150L);
            }
        }
        // Until all entries are known, the first ones get more; each begins with less than one place.
        assertTrue(all <= rounds + 2 * entries, "dealt " + all + " in " + rounds + " rounds to " + entries);
    }
}
