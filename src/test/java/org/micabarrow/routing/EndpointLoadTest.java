package org.micabarrow.routing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.limits.EndpointRateLimit;
import org.micabarrow.limits.EntryCount;

/** What is known of an endpoint whose agent has told nothing, or told late. */
class EndpointLoadTest {

    private final EndpointLoad load = new EndpointLoad(new EndpointRateLimit("a", new EntryCount(), new Random(1)));

    @ParameterizedTest
    @ValueSource(longs = {0, 1, 999, 1_000, 100_000})
    void shouldNotCallLinkSlowLatelyWhenAgentHasToldNothing(long nowMillis) {
        assertFalse(load.delayedLately(nowMillis), "a steady clock may begin near 0");
        assertFalse(load.toldLately(nowMillis));
    }

    @Test
    void shouldCallLinkSlowLatelyForAWhileAfterLateAnswer() {
        load.told(new LoadReport(0, 0, false, 1), 401, 10);
        assertTrue(load.delayedLately(3_010));
        assertFalse(load.delayedLately(3_011));
    }
}
