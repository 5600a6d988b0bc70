package org.micabarrow.crashes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.micabarrow.crashes.PoisonRequestDetectorTest.digest;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.micabarrow.routing.EndpointRegistration;

class SuspectIsolationTest {

    private static final SuspicionLevel.Suspected ONCE = new SuspicionLevel.Suspected(1);
    private static final SuspicionLevel.Suspected TWICE = new SuspicionLevel.Suspected(2);
    private static final RequestDigest ONE = digest("1");
    private static final RequestDigest OTHER = digest("2");

    private final List<EndpointRegistration> endpoints = IntStream.range(0, 6)
            .mapToObj(i -> EndpointRegistration.of("e" + i, "s", "127.0.0.1:1", "h", 16, false, Map.of(), 1))
            .toList();
    private final SuspectIsolation placement = new SuspectIsolation();

    @Test
    void shouldLeaveOutEndpointsWithOtherSuspects() {
        placement.began(endpoints.getFirst().start(), OTHER);
        assertEquals(endpoints.subList(1, 6), placement.free(endpoints, ONE, ONCE));
        placement.ended(endpoints.getFirst().start(), OTHER);
        assertEquals(endpoints, placement.free(endpoints, ONE, ONCE));
    }

    @Test
    void shouldRunOneAtATimeWhenAtMoreThanOneCrash() {
        placement.began(endpoints.getFirst().start(), ONE);
        assertEquals(endpoints, placement.free(endpoints, ONE, ONCE));
        assertEquals(List.of(), placement.free(endpoints, ONE, TWICE));
        placement.ended(endpoints.getFirst().start(), ONE);
        assertEquals(6, placement.free(endpoints, ONE, TWICE).size());
    }

    @Test
    void shouldTryEndpointsInSameOrderEverywhereWhenAtMoreThanOneCrash() {
        List<EndpointRegistration> order = placement.free(endpoints, ONE, TWICE);
        assertEquals(order, new SuspectIsolation().free(endpoints.reversed(), ONE, TWICE));
        assertNotEquals(order, placement.free(endpoints, OTHER, TWICE));
    }
}
