package org.micabarrow.views;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EraOffsetTest {

    private static final long MAX_ERA = 32_767;
    private static final long MAX_OFFSET = (1L << 48) - 1;

    @Property(seed = "12", tries = 300)
    void shouldOrderByEraAndThenByOffset(
            @ForAll @LongRange(min = 0, max = MAX_ERA) long era,
            @ForAll @LongRange(min = 0, max = MAX_OFFSET) long offset,
            @ForAll @LongRange(min = 0, max = MAX_ERA) long otherEra,
            @ForAll @LongRange(min = 0, max = MAX_OFFSET) long otherOffset) {
        int expected = era == otherEra ? Long.compare(offset, otherOffset) : Long.compare(era, otherEra);
        assertEquals(expected, Long.compare(EraOffset.of(era, offset), EraOffset.of(otherEra, otherOffset)));
    }

    @Property(seed = "13", tries = 300)
    void shouldReturnItsParts(
            @ForAll @LongRange(min = 0, max = MAX_ERA) long era,
            @ForAll @LongRange(min = 0, max = MAX_OFFSET) long offset) {
        long both = EraOffset.of(era, offset);
        assertTrue(both >= 0);
        assertEquals(era, EraOffset.era(both));
        assertEquals(offset, EraOffset.offset(both));
    }

    @Test
    void shouldEqualOffsetWhenInFirstEra() {
        assertEquals(17, EraOffset.of(0, 17));
        assertEquals("offset=17", EraOffset.toLog(17));
        assertEquals("offset=17 era=2", EraOffset.toLog(EraOffset.of(2, 17)));
    }

    @ParameterizedTest
    @CsvSource({"-1, 0", "32768, 0", "0, -1", "0, 281474976710656"})
    void shouldRejectWhatDoesNotFit(long era, long offset) {
        assertThrows(IllegalArgumentException.class, () -> EraOffset.of(era, offset));
    }
}
