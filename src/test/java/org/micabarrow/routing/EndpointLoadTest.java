package org.micabarrow.routing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.limits.EndpointRateLimit;
import org.micabarrow.limits.EntryCount;

/** Covers endpoints whose agents have not reported, or replied late. */
class EndpointLoadTest {

    private final EndpointLoad load = new EndpointLoad(new EndpointRateLimit("a", new EntryCount(), new Random(1)));

    @ParameterizedTest
    @ValueSource(longs = {0, 1, 999, 1_000, 100_000})
    void shouldNotReportLinkRecentlySlowWhenAgentHasNotReported(long nowMillis) {
        assertFalse(load.contact().linkRecentlySlow(nowMillis), "a monotonic clock may start near 0");
        assertFalse(load.contact().hasRecentReport(nowMillis));
    }

    @Test
    void shouldReportLinkRecentlySlowForAWhileAfterLateReply() {
        load.reported(new LoadReport(0, 0, false, 1), 401, 10);
        assertTrue(load.contact().linkRecentlySlow(3_010));
        assertFalse(load.contact().linkRecentlySlow(3_011));
    }
}
