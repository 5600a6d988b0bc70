package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The moments of agents and entries fit together at every bound, and give away no more at a longer one. */
class VersionMomentsTest {

    private static final long[] ALL_BOUNDS = {100, 500, 1_000, 2_000, 4_000, 8_000, 10_300, 13_400, 60_000, 3_600_000};

    /** What an endpoint stops before its bound, cordon included, at the longest bound as at the usual one. */
    private static final long MAX_GIVEN_AWAY_MILLIS = 1_780;

    private static long[] allBounds() {
        return ALL_BOUNDS;
    }

    @ParameterizedTest
    @ValueSource(longs = {8_000, 10_300, 13_400, 60_000, 3_600_000})
    void shouldGiveAwayNoMoreWhenBoundIsLonger(long bound) {
        VersionMoments moments = new VersionMoments(bound);
        assertTrue(bound - moments.cordonMillis() <= MAX_GIVEN_AWAY_MILLIS);
        assertEquals(8_000 - new VersionMoments(8_000).requireMillis(), bound - moments.requireMillis());
        assertEquals(8_000 - new VersionMoments(8_000).cancelMillis(), bound - moments.cancelMillis());
    }

    @Test
    void shouldOrderMomentsOfAgentsAndEntriesAtEveryBound() {
        for (long bound : allBounds()) {
            VersionMoments moments = new VersionMoments(bound);
            assertTrue(moments.firstOrderMillis() > 0, () -> "first order at bound " + bound);
            assertTrue(moments.firstOrderMillis() < moments.lastOrderMillis(), () -> "orders at bound " + bound);
            assertTrue(moments.queryMillis() < moments.requireMillis(), () -> "queries at bound " + bound);
            assertTrue(moments.stopMillis() < moments.requireMillis(), () -> "stop at bound " + bound);
            assertTrue(moments.requireMillis() < moments.lastOrderMillis(), () -> "last order at bound " + bound);
            assertTrue(moments.lastOrderMillis() < moments.cancelMillis(), () -> "cancel at bound " + bound);
            assertTrue(moments.cancelMillis() < bound, () -> "bound " + bound);
        }
    }

    /** At the usual bound the moments are those that were played and hunted. */
    @Test
    void shouldKeepMomentsAtUsualBound() {
        VersionMoments moments = new VersionMoments(8_000);
        assertEquals(3_600, moments.firstOrderMillis());
        assertEquals(6_720, moments.stopMillis());
        assertEquals(7_440, moments.lastOrderMillis());
        assertEquals(3_600, moments.queryMillis());
        assertEquals(7_040, moments.requireMillis());
        assertEquals(7_760, moments.cancelMillis());
    }

    @ParameterizedTest
    @ValueSource(longs = {8_000, 10_300, 13_400})
    void shouldStopWhileAllThatIsGuardedAgainstCoincides(long bound) {
        long guarded = VersionMoments.LEARNING_MILLIS
                + VersionMoments.PAUSE_MILLIS
                + VersionMoments.TRANSIT_MILLIS
                + VersionMoments.ORDER_MILLIS;
        assertTrue(new VersionMoments(bound).stopMillis() + guarded <= bound);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, -1})
    void shouldRejectBoundWhenNotPositive(long bound) {
        assertThrows(IllegalArgumentException.class, () -> new VersionMoments(bound));
    }
}
