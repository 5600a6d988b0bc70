package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.micabarrow.crashes.CrashRegistry;
import org.micabarrow.crashes.CrashUpdate;
import org.micabarrow.crashes.EndpointCrash;
import org.micabarrow.crashes.PromptPart;
import org.micabarrow.crashes.RequestCauses;
import org.micabarrow.crashes.RequestDigest;
import org.micabarrow.routing.EndpointRegistration;

/** Checks how crashes of endpoints are detected, published and cleared. */
class CrashDetectorTest {

    private static final RequestDigest ONE = new RequestDigest("1".repeat(32));
    private static final RequestDigest OTHER = new RequestDigest("2".repeat(32));
    private static final EndpointRegistration ENDPOINT =
            EndpointRegistration.of("e", "s", "127.0.0.1:1", "h", 16, false, Map.of(), 1);

    private final List<Consumer<Boolean>> probes = new ArrayList<>();
    private final List<CrashUpdate> published = new ArrayList<>();
    private final CrashRegistry registry = new CrashRegistry(600_000, 100, () -> 8);
    private long clockMillis = 1_000;
    private int continued;
    private final CrashDetector detector = new CrashDetector(
            new CrashTracking(registry, (endpoint, then) -> probes.add(then), published::add), () -> clockMillis);

    private static CrashUpdate crash(Set<RequestDigest> notBegun, Set<RequestDigest> begun) {
        return new CrashUpdate.Crashed(new EndpointCrash("e", notBegun, begun));
    }

    @Test
    void shouldPublishCrashWhenPortIsClosedAfterConnectionsBroke() {
        detector.connectionBroke(ENDPOINT, RequestCauses.of(ONE), false, () -> continued++);
        detector.connectionBroke(ENDPOINT, RequestCauses.of(OTHER), true, () -> continued++);
        assertEquals(1, probes.size(), "one probe for all broken connections");
        assertEquals(0, continued, "nothing continues before the probe completes");
        probes.getFirst().accept(true);
        assertEquals(2, continued);
        assertEquals(List.of(crash(Set.of(ONE), Set.of(OTHER))), published);
        assertEquals(1, registry.crashCount());
    }

    @Test
    void shouldPublishPartsOfPromptsWhenEndpointCrashed() {
        Set<PromptPart> parts = Set.of(new PromptPart("a1"), new PromptPart("b2"));
        detector.connectionBroke(ENDPOINT, RequestCauses.of(ONE, parts), false, () -> continued++);
        detector.connectionBroke(ENDPOINT, RequestCauses.of(OTHER), false, () -> continued++);
        probes.getFirst().accept(true);
        EndpointCrash crash = new EndpointCrash("e", Set.of(ONE, OTHER), Set.of(), Map.of(ONE, parts));
        assertEquals(List.of(new CrashUpdate.Crashed(crash)), published);
    }

    @Test
    void shouldLimitReportedPartsWhenPromptsHaveMany() {
        for (int i = 0; i < 40; i++) {
            RequestDigest request = new RequestDigest(String.format("%032x", i));
            Set<PromptPart> parts = IntStream.range(0, 64)
                    .mapToObj(part -> new PromptPart(Integer.toHexString(part)))
                    .collect(Collectors.toSet());
            detector.connectionBroke(ENDPOINT, RequestCauses.of(request, parts), false, () -> continued++);
        }
        probes.getFirst().accept(true);
        EndpointCrash crash = ((CrashUpdate.Crashed) published.getFirst()).crash();
        assertEquals(40, crash.unanswered().size());
        assertEquals(16, crash.parts().size());
    }

    @Test
    void shouldPublishNothingWhenEndpointListensOrInstanceIsUnresponsive() {
        detector.connectionBroke(ENDPOINT, RequestCauses.of(ONE), false, () -> continued++);
        probes.getFirst().accept(false);
        assertEquals(1, continued);
        assertEquals(List.of(), published);
        assertEquals(0, registry.crashCount());
        detector.connectionBroke(ENDPOINT, RequestCauses.of(ONE), false, () -> continued++);
        assertEquals(2, probes.size(), "the next broken connection is probed again");
    }

    @Test
    void shouldAddLaterRequestsWhenEndpointHasCrashed() {
        detector.connectionBroke(ENDPOINT, RequestCauses.of(ONE), false, () -> continued++);
        probes.getFirst().accept(true);
        detector.connectionBroke(ENDPOINT, RequestCauses.of(OTHER), false, () -> continued++);
        assertEquals(crash(Set.of(ONE, OTHER), Set.of()), published.getLast());
        assertEquals(1, probes.size());
    }

    @Test
    void shouldIncludeRequestsCancelledJustBeforeCrash() {
        detector.recordCancelled(ENDPOINT, RequestCauses.of(OTHER), 100, false);
        clockMillis += 300;
        detector.connectionBroke(ENDPOINT, RequestCauses.of(ONE), false, () -> continued++);
        probes.getFirst().accept(true);
        assertEquals(List.of(crash(Set.of(ONE, OTHER), Set.of())), published);
    }

    @Test
    void shouldNotIncludeRequestsCancelledLongBeforeCrash() {
        detector.recordCancelled(ENDPOINT, RequestCauses.of(OTHER), 100, false);
        clockMillis += 1_001;
        detector.connectionBroke(ENDPOINT, RequestCauses.of(ONE), false, () -> continued++);
        probes.getFirst().accept(true);
        assertEquals(List.of(crash(Set.of(ONE), Set.of())), published);
    }

    @Test
    void shouldLimitRememberedBytesWhenManyRequestsAreCancelled() {
        detector.recordCancelled(ENDPOINT, RequestCauses.of(OTHER), (1 << 20) - (1 << 10), false);
        detector.recordCancelled(ENDPOINT, RequestCauses.of(OTHER), 1 << 20, false);
        detector.recordCancelled(ENDPOINT, RequestCauses.of(ONE), 1, false);
        RequestDigest third = new RequestDigest("3".repeat(32));
        detector.connectionBroke(ENDPOINT, RequestCauses.of(third), false, () -> continued++);
        probes.getFirst().accept(true);
        assertEquals(List.of(crash(Set.of(ONE, third), Set.of())), published);
    }

    @Test
    void shouldPublishResponseOnlyWhenRequestWasSuspected() {
        registry.crashed(new EndpointCrash("a", Set.of(ONE), Set.of()), 0);
        detector.onResponse(RequestCauses.of(OTHER), true);
        assertEquals(List.of(), published);
        detector.onResponse(RequestCauses.of(ONE), true);
        assertEquals(List.of(new CrashUpdate.Cleared(ONE, true)), published);
    }
}
