package org.micabarrow.crashes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.micabarrow.crashes.PoisonDetectorTest.digest;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.micabarrow.routing.EndpointRegistration;

class SuspectIsolationTest {

    private static final RequestDigest ONE = digest("1");
    private static final RequestDigest OTHER = digest("2");
    private static final SuspicionLevel.Suspected ONCE = new SuspicionLevel.Suspected(ONE, 1, 0);
    private static final SuspicionLevel.Suspected TWICE = new SuspicionLevel.Suspected(ONE, 2, 0);

    private final List<EndpointRegistration> endpoints = IntStream.range(0, 6)
            .mapToObj(i -> EndpointRegistration.of("e" + i, "s", "127.0.0.1:1", "h", 16, false, Map.of(), 1))
            .toList();
    private final SuspectIsolation isolation = new SuspectIsolation();

    @Test
    void shouldSkipEndpointsWithOtherSuspects() {
        isolation.started(endpoints.getFirst().start(), OTHER);
        assertEquals(endpoints.subList(1, 6), isolation.withoutOtherSuspects(endpoints, ONCE));
        isolation.ended(endpoints.getFirst().start(), OTHER);
        assertEquals(endpoints, isolation.withoutOtherSuspects(endpoints, ONCE));
    }

    @Test
    void shouldRunOneAttemptAtATimeWhenInvolvedInMoreThanOneCrash() {
        isolation.started(endpoints.getFirst().start(), ONE);
        assertEquals(endpoints, isolation.withoutOtherSuspects(endpoints, ONCE));
        assertEquals(List.of(), isolation.withoutOtherSuspects(endpoints, TWICE));
        isolation.ended(endpoints.getFirst().start(), ONE);
        assertEquals(6, isolation.withoutOtherSuspects(endpoints, TWICE).size());
    }

    /** Guards against a suspect that is sent again by processes that do not know of its last crash yet. */
    @Test
    void shouldWaitUntilOthersKnowOfLastCrashWhenInvolvedInMoreThanOneCrash() {
        assertEquals(List.of(), isolation.withoutOtherSuspects(endpoints, new SuspicionLevel.Suspected(ONE, 2, 1)));
        assertEquals(endpoints, isolation.withoutOtherSuspects(endpoints, new SuspicionLevel.Suspected(ONE, 1, 1)));
    }

    @Test
    void shouldTryEndpointsInSameOrderEverywhereWhenInvolvedInMoreThanOneCrash() {
        List<EndpointRegistration> order = isolation.withoutOtherSuspects(endpoints, TWICE);
        assertEquals(order, new SuspectIsolation().withoutOtherSuspects(endpoints.reversed(), TWICE));
        assertNotEquals(order, isolation.withoutOtherSuspects(endpoints, new SuspicionLevel.Suspected(OTHER, 2, 0)));
    }
}
