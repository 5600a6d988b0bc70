package org.micabarrow.routing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.micabarrow.limits.EndpointRateLimit;
import org.micabarrow.limits.EntryCount;
import org.micabarrow.routing.SlotLimits.Limit;

class SlotLimitsTest {

    private static final SlotLimits DIVIDED = SlotLimits.of(List.of(new Limit(0, 2), new Limit(2, 1)));

    @Test
    void shouldAllowAllClassesAlikeWhenSlotsAreNotDivided() {
        assertTrue(SlotLimits.undivided().allow(9, 2, 3));
        assertFalse(SlotLimits.undivided().allow(0, 3, 3));
    }

    @Test
    void shouldAllowSlotsOfOwnAndLessUrgentClasses() {
        assertTrue(DIVIDED.allow(0, 2, 3));
        assertFalse(DIVIDED.allow(0, 3, 3));
        assertTrue(DIVIDED.allow(1, 0, 3));
        assertFalse(DIVIDED.allow(1, 1, 3));
        assertFalse(DIVIDED.allow(2, 1, 3));
    }

    @Test
    void shouldAllowNothingWhenClassIsBeyondThoseListed() {
        assertFalse(DIVIDED.allow(3, -5, 3));
    }

    @Test
    void shouldNotAllowMoreThanAllotted() {
        assertFalse(DIVIDED.allow(0, 1, 1));
    }

    @Test
    void shouldForgetDivisionWhenNextReportDoesNotDivide() {
        EndpointLoad load = new EndpointLoad(new EndpointRateLimit("e", new EntryCount(), new java.util.Random(1)));
        LoadReport report = new LoadReport(0, 0, false, 1, 2);
        load.reported(report, 1, 1_000);
        load.slotsDivided(DIVIDED);
        assertFalse(load.hasAllottedSlot(3, 1_000));
        load.reported(report, 1, 1_150);
        assertTrue(load.hasAllottedSlot(3, 1_150));
    }

    @Test
    void shouldAllowAllClassesWhenReportHasExpired() {
        EndpointLoad load = new EndpointLoad(new EndpointRateLimit("e", new EntryCount(), new java.util.Random(1)));
        load.reported(new LoadReport(0, 0, false, 1, 0), 1, 1_000);
        load.slotsDivided(DIVIDED);
        assertFalse(load.hasAllottedSlot(3, 1_000));
        assertTrue(load.hasAllottedSlot(3, 4_000));
    }
}
