package org.micabarrow.crashes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.micabarrow.crashes.CulpritsTest.digest;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.micabarrow.routing.EndpointEntry;

class SuspectPlacementTest {

    private static final Standing.Suspected ONCE = new Standing.Suspected(1);
    private static final Standing.Suspected TWICE = new Standing.Suspected(2);
    private static final RequestDigest ONE = digest("1");
    private static final RequestDigest OTHER = digest("2");

    private final List<EndpointEntry> endpoints = IntStream.range(0, 6)
            .mapToObj(i -> EndpointEntry.of("e" + i, "s", "127.0.0.1:1", "h", 16, false, Map.of(), 1))
            .toList();
    private final SuspectPlacement placement = new SuspectPlacement();

    @Test
    void shouldSkipEndpointsWithOtherSuspects() {
        placement.began(endpoints.getFirst().start(), OTHER);
        assertEquals(endpoints.subList(1, 6), placement.free(endpoints, ONE, ONCE));
        placement.ended(endpoints.getFirst().start(), OTHER);
        assertEquals(endpoints, placement.free(endpoints, ONE, ONCE));
    }

    @Test
    void shouldRunOneAttemptAtATimeWhenInvolvedInMoreThanOneCrash() {
        placement.began(endpoints.getFirst().start(), ONE);
        assertEquals(endpoints, placement.free(endpoints, ONE, ONCE));
        assertEquals(List.of(), placement.free(endpoints, ONE, TWICE));
        placement.ended(endpoints.getFirst().start(), ONE);
        assertEquals(6, placement.free(endpoints, ONE, TWICE).size());
    }

    @Test
    void shouldTryEndpointsInSameOrderEverywhereWhenInvolvedInMoreThanOneCrash() {
        List<EndpointEntry> order = placement.free(endpoints, ONE, TWICE);
        assertEquals(order, new SuspectPlacement().free(endpoints.reversed(), ONE, TWICE));
        assertNotEquals(order, placement.free(endpoints, OTHER, TWICE));
    }
}
