package org.micabarrow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class EndpointSelectorTest {

    private static final ModelProfile MODEL = new ModelProfile("m", 4, 20, 10, 0, 5, 16, 64, 32_768);
    private static final long NOW = 100_000;

    private final EndpointSelector selector = new EndpointSelector("r1", Map.of("h1", "r1", "h2", "r2"));

    private static EndpointRegistration endpoint(String id, String hall, boolean draining, long version, int layers) {
        Map<String, Long> models = version == 0 ? Map.of() : Map.of("m", version);
        return EndpointRegistration.of(id, "s", "10.0.0.1:80", hall, 4, draining, models, layers);
    }

    private static EndpointRegistration endpoint(String id) {
        return endpoint(id, "h1", false, 1, 16);
    }

    private static EndpointRegistration started(long startedMillis, long version) {
        Map<String, Long> models = version == 0 ? Map.of() : Map.of("m", version);
        return EndpointRegistration.of("a", "s", "10.0.0.1:80", "h1", 4, false, models, 16)
                .withStart(OptionalLong.of(startedMillis));
    }

    private static RoutingRequest request(long minVersion, Set<String> triedEndpoints) {
        return new RoutingRequest(1_000, 500, Optional.of(MODEL), minVersion, 0, triedEndpoints);
    }

    private EndpointSelection select(EndpointRegistration... endpoints) {
        return selector.select(List.of(endpoints), request(0, Set.of()), NOW);
    }

    private static String selectedId(EndpointSelection selection) {
        return assertInstanceOf(EndpointSelection.Selected.class, selection)
                .endpoint()
                .id();
    }

    @Test
    void shouldSkipEndpointsThatCannotServe() {
        EndpointRegistration draining = endpoint("a", "h1", true, 1, 16);
        EndpointRegistration empty = endpoint("b", "h1", false, 0, 16);
        EndpointRegistration partial = endpoint("c", "h1", false, 1, 3);
        assertInstanceOf(EndpointSelection.NoneEligible.class, select(draining, empty, partial));
        assertEquals("d", selectedId(select(draining, empty, partial, endpoint("d"))));
    }

    @Test
    void shouldRequireNewestVersionWhenOlderOnesMayNotRespond() {
        EndpointRegistration old = endpoint("a", "h1", false, 1, 16);
        EndpointRegistration renewed = endpoint("b", "h2", false, 2, 16);
        assertEquals("b", selectedId(selector.select(List.of(old, renewed), request(2, Set.of()), NOW)));
    }

    @Test
    void shouldPreferOwnRegionUntilItsQueueCostsMore() {
        EndpointRegistration near = endpoint("a", "h1", false, 1, 16);
        EndpointRegistration far = endpoint("b", "h2", false, 1, 16);
        assertEquals("a", selectedId(select(near, far)));
        selector.load("a").requestSent(3_000);
        assertEquals("b", selectedId(select(near, far)));
    }

    /** Nothing is known of an endpoint whose agent is not queried, so it would seem to be idle. */
    @Test
    void shouldPreferQueriedEndpointsWhenThereAreTooManyToQueryAll() {
        EndpointRegistration queried = endpoint("a", "h2", false, 1, 16);
        EndpointRegistration unqueried = endpoint("b", "h1", false, 2, 16);
        assertEquals("b", selectedId(select(queried, unqueried)));
        selector.setUnqueried(Set.of(unqueried.start()));
        assertEquals("a", selectedId(select(queried, unqueried)));
        selector.load("a").requestSent(8_000);
        assertInstanceOf(EndpointSelection.Full.class, select(queried, unqueried));
    }

    @Test
    void shouldSelectUnqueriedEndpointWhenNoOtherIsEligible() {
        EndpointRegistration old = endpoint("a", "h1", false, 1, 16);
        EndpointRegistration renewed = endpoint("b", "h1", false, 2, 16);
        selector.setUnqueried(Set.of(renewed.start()));
        assertEquals("b", selectedId(selector.select(List.of(old, renewed), request(2, Set.of()), NOW)));
        assertEquals("b", selectedId(select(renewed)));
    }

    @Test
    void shouldReturnFullWhenObjectiveCannotBeMet() {
        selector.load("a").requestSent(8_000);
        assertInstanceOf(EndpointSelection.Full.class, select(endpoint("a")));
    }

    @Test
    void shouldCountRequestsOfOtherEntries() {
        selector.load("a").reported(new LoadReport(4, 0, false, 1), 10, NOW);
        assertInstanceOf(EndpointSelection.Full.class, select(endpoint("a")));
        selector.load("b").reported(new LoadReport(1, 9_000, false, 1), 10, NOW);
        assertInstanceOf(EndpointSelection.Full.class, select(endpoint("b")));
    }

    @Test
    void shouldNotSelectEndpointThatIsLoadingWeights() {
        selector.load("a").reported(new LoadReport(0, 0, true, 1), 10, NOW);
        assertEquals("b", selectedId(select(endpoint("a"), endpoint("b"))));
    }

    @Test
    void shouldSkipEndpointWhoseAgentIsUnresponsive() {
        selector.load("a").reported(new LoadReport(0, 0, false, 1), 10, NOW - 1_000);
        selector.load("b").reported(new LoadReport(2, 0, false, 1), 10, NOW - 100);
        assertEquals("b", selectedId(select(endpoint("a"), endpoint("b"))));
    }

    @Test
    void shouldUseUnresponsiveEndpointWhenAllAreUnresponsive() {
        selector.load("a").reported(new LoadReport(0, 0, false, 1), 10, NOW - 5_000);
        assertEquals("a", selectedId(select(endpoint("a"))));
    }

    @Test
    void shouldSkipEndpointBehindSlowLink() {
        selector.load("a").reported(new LoadReport(0, 0, false, 1), 2_200, NOW);
        selector.load("b").reported(new LoadReport(2, 0, false, 1), 100, NOW);
        assertEquals("b", selectedId(select(endpoint("a"), endpoint("b"))));
        assertEquals("a", selectedId(select(endpoint("a"))), "no other endpoint can serve");
    }

    @Test
    void shouldSendNothingThroughSlowLinkWhenNewerVersionIsAnnounced() {
        selector.load("a").reported(new LoadReport(0, 0, false, 1), 2_200, NOW);
        RoutingRequest request = new RoutingRequest(1_000, 500, Optional.of(MODEL), 0, 2, Set.of());
        assertInstanceOf(EndpointSelection.NoneEligible.class, selector.select(List.of(endpoint("a")), request, NOW));
        EndpointRegistration renewed = endpoint("a", "h1", false, 2, 16);
        assertInstanceOf(EndpointSelection.Selected.class, selector.select(List.of(renewed), request, NOW));
    }

    @Test
    void shouldSendNothingThroughRecentlySlowLinkWhenNewerVersionIsAnnounced() {
        selector.load("a").reported(new LoadReport(0, 0, false, 1), 900, NOW - 500);
        selector.load("a").reported(new LoadReport(0, 0, false, 1), 10, NOW);
        RoutingRequest newer = new RoutingRequest(1_000, 500, Optional.of(MODEL), 0, 2, Set.of());
        assertInstanceOf(EndpointSelection.NoneEligible.class, selector.select(List.of(endpoint("a")), newer, NOW));
        assertEquals("a", selectedId(select(endpoint("a"))), "no newer version is announced");
        selector.load("a").reported(new LoadReport(0, 0, false, 1), 10, NOW + 5_000);
        assertInstanceOf(EndpointSelection.Selected.class, selector.select(List.of(endpoint("a")), newer, NOW + 5_000));
    }

    @Test
    void shouldSendNothingToUnresponsiveAgentsEndpointWhenNewerVersionIsAnnounced() {
        selector.load("a").reported(new LoadReport(0, 0, false, 1), 10, NOW - 1_000);
        selector.load("a").contact().dataReceived(NOW - 50);
        RoutingRequest request = new RoutingRequest(1_000, 500, Optional.of(MODEL), 0, 2, Set.of());
        assertInstanceOf(EndpointSelection.NoneEligible.class, selector.select(List.of(endpoint("a")), request, NOW));
        assertEquals("a", selectedId(select(endpoint("a"))), "no newer version is announced");
    }

    @Test
    void shouldNotUseUnresponsiveEndpointWhenOthersRespond() {
        selector.load("a").reported(new LoadReport(0, 0, false, 1), 10, NOW - 1_000);
        selector.load("b").reported(new LoadReport(0, 0, true, 1), 10, NOW - 100);
        assertInstanceOf(
                EndpointSelection.NoneEligible.class,
                select(endpoint("a"), endpoint("b")),
                "b is loading weights, a is unresponsive");
    }

    @Test
    void shouldUseEndpointThatRespondsWhenItsAgentIsUnresponsive() {
        selector.load("a").reported(new LoadReport(0, 0, false, 1), 10, NOW - 1_000);
        selector.load("a").contact().dataReceived(NOW - 50);
        selector.load("b").reported(new LoadReport(0, 0, true, 1), 10, NOW - 100);
        assertEquals("a", selectedId(select(endpoint("a"), endpoint("b"))));
    }

    @Test
    void shouldEjectEndpointWhenItsConnectionFailed() {
        selector.load("a").failures().connectionFailed(NOW);
        assertEquals("b", selectedId(select(endpoint("a"), endpoint("b"))));
        selector.load("b").failures().connectionFailed(NOW);
        assertInstanceOf(
                EndpointSelection.Selected.class,
                select(endpoint("a"), endpoint("b")),
                "all are ejected, so an ejected one is used");
    }

    @Test
    void shouldEjectEndpointWhenAnotherOneHasItsAddress() {
        selector.load("a").failures().misdirected(NOW);
        assertEquals("b", selectedId(select(endpoint("a"), endpoint("b", "h2", false, 1, 16))));
    }

    @Test
    void shouldUseEndpointAgainWhenItsEjectionEnds() {
        selector.load("a").failures().connectionFailed(NOW - 1_001);
        selector.load("b").requestSent(1_000);
        assertEquals("a", selectedId(select(endpoint("a"), endpoint("b"))));
    }

    @Test
    void shouldNotSendTwiceToTheSameEndpoint() {
        assertInstanceOf(
                EndpointSelection.NoneEligible.class,
                selector.select(List.of(endpoint("a")), request(0, Set.of("a")), NOW));
    }

    @Test
    void shouldQueryAgentFirstOnlyWhenItsEndpointHoldsOlderVersionThanAnnounced() {
        RoutingRequest newer = new RoutingRequest(1_000, 500, Optional.of(MODEL), 0, 2, Set.of());
        EndpointRegistration old = endpoint("a", "h1", false, 1, 16);
        assertFalse(selector.mustQueryAgent(old, newer), "it has no agent");
        selector.load("a").reported(new LoadReport(0, 0, false, 1), 10, NOW);
        assertTrue(selector.mustQueryAgent(old, newer));
        assertFalse(selector.mustQueryAgent(old, request(0, Set.of())), "no newer version is announced");
        selector.load("a").reported(new LoadReport(0, 0, false, 2), 10, NOW);
        assertFalse(
                selector.mustQueryAgent(old, newer),
                "it has loaded the newer version since its registration was written");
    }

    @Test
    void shouldSendNothingAfterUnansweredQueryWhenNewerVersionIsAnnounced() {
        RoutingRequest newer = new RoutingRequest(1_000, 500, Optional.of(MODEL), 0, 2, Set.of());
        EndpointRegistration old = endpoint("a", "h1", false, 1, 16);
        selector.load("a").reported(new LoadReport(0, 0, false, 1), 10, NOW);
        selector.load("a").contact().queryTimedOut();
        assertFalse(selector.eligible(old, newer, NOW));
        assertTrue(selector.eligible(old, request(0, Set.of()), NOW), "any version may respond");
        selector.load("a").reported(new LoadReport(0, 0, false, 1), 10, NOW);
        assertTrue(selector.eligible(old, newer, NOW));
    }

    // -- endpoints that restart under the same id

    @Test
    void shouldNotCarryOverVersionWhenEndpointRestarts() {
        selector.load(started(5_000, 1).start()).reported(new LoadReport(0, 0, false, 3), 10, NOW);
        selector.load(started(5_000, 1).start()).respondedWithVersion(3);
        assertInstanceOf(EndpointSelection.NoneEligible.class, select(started(9_000, 0)));
        selector.load(started(9_000, 0).start()).reported(new LoadReport(0, 0, false, 1), 10, NOW);
        assertEquals("a", selectedId(select(started(9_000, 0))));
    }

    @Test
    void shouldNotCarryOverRequestsWhenEndpointRestarts() {
        EndpointLoad former = selector.load(started(5_000, 1).start());
        former.requestSent(8_000);
        assertEquals("a", selectedId(select(started(9_000, 1))));
        EndpointLoad present = selector.load(started(9_000, 1).start());
        present.requestSent(100);
        former.requestEnded();
        assertEquals(1, present.requests(NOW));
        assertEquals(100, present.ownPendingPromptTokens());
    }

    @Test
    void shouldNotCarryOverFailuresWhenEndpointRestarts() {
        selector.load(started(5_000, 1).start()).failures().connectionFailed(NOW);
        selector.load("b").requestSent(1_000);
        assertEquals("a", selectedId(select(started(9_000, 1), endpoint("b"))));
    }

    @Test
    void shouldSendNothingWhenAgentReportedAnotherStart() {
        EndpointLoad load = selector.load(started(5_000, 1).start());
        load.reported(new LoadReport(0, 0, false, 1), 10, NOW);
        load.otherStartReported();
        assertInstanceOf(EndpointSelection.NoneEligible.class, select(started(5_000, 1)));
        load.reported(new LoadReport(0, 0, false, 1), 10, NOW);
        assertEquals("a", selectedId(select(started(5_000, 1))), "the agent has caught up with the registration");
    }

    @Test
    void shouldForgetPreviousStartWhenNothingIsInFlightThere() {
        EndpointStart former = started(5_000, 1).start();
        selector.load(former).requestSent(10);
        selector.retainOnly(List.of(started(9_000, 1)));
        assertTrue(selector.hasRequestsInFlight(former));
        selector.load(former).requestEnded();
        selector.load(former).respondedWithVersion(3);
        selector.retainOnly(List.of(started(9_000, 1)));
        assertEquals(0, selector.load(former).version());
    }

    // -- endpoints that are not listed for a while

    @Test
    void shouldStayInBackoffWhenSameStartIsListedAgain() {
        selector.load(started(5_000, 1).start()).backoff().requested(20_000, NOW);
        selector.retainOnly(List.of());
        selector.retainOnly(List.of(started(5_000, 1)));
        assertTrue(selector.inBackoff(started(5_000, 1), NOW + 19_999));
        assertFalse(selector.inBackoff(started(5_000, 1), NOW + 20_000));
    }

    @Test
    void shouldStayInBackoffWhenEndpointWithoutStartTimeIsListedAgain() {
        selector.load("a").backoff().requested(20_000, NOW);
        selector.retainOnly(List.of(endpoint("b")));
        selector.retainOnly(List.of(endpoint("a"), endpoint("b")));
        assertTrue(selector.inBackoff(endpoint("a"), NOW + 19_999));
    }

    @Test
    void shouldStayEjectedAndLimitedWhenSameStartIsListedAgain() {
        EndpointLoad load = selector.load(started(5_000, 1).start());
        load.failures().connectionFailed(NOW);
        load.respondedWithVersion(3);
        selector.retainOnly(List.of());
        selector.retainOnly(List.of(started(5_000, 1)));
        assertTrue(selector.ejected(started(5_000, 1), NOW + 500));
        assertSame(load.rateLimit(), selector.load(started(5_000, 1).start()).rateLimit());
        assertEquals(3, selector.load(started(5_000, 1).start()).version());
    }

    @Test
    void shouldStayInBackoffWhenOlderStartIsListedMeanwhile() {
        selector.load(started(9_000, 1).start()).backoff().requested(20_000, NOW);
        selector.retainOnly(List.of(started(5_000, 1)));
        selector.retainOnly(List.of(started(9_000, 1)));
        assertTrue(selector.inBackoff(started(9_000, 1), NOW + 19_999));
    }

    @Test
    void shouldNotSeemUnresponsiveWhenListedAgain() {
        EndpointLoad load = selector.load(started(5_000, 1).start());
        load.reported(new LoadReport(0, 0, false, 1), 10, NOW);
        selector.retainOnly(List.of());
        selector.retainOnly(List.of(started(5_000, 1)));
        assertFalse(selector.unresponsive(started(5_000, 1), NOW + 60_000));
    }

    @Test
    void shouldSeemUnresponsiveWhenUnlistedWithRequestInFlight() {
        EndpointLoad load = selector.load(started(5_000, 1).start());
        load.requestSent(10);
        load.reported(new LoadReport(0, 0, false, 1), 10, NOW);
        selector.retainOnly(List.of());
        assertTrue(selector.unresponsive(started(5_000, 1), NOW + 60_000));
    }

    @Test
    void shouldForgetThoseThatLeftFirstWhenThousandsComeAndGo() {
        int starts = 3_000;
        for (int i = 0; i < starts; i++) {
            selector.load(String.valueOf(i)).backoff().requested(20_000, NOW);
            selector.retainOnly(List.of());
        }
        List<Integer> kept = IntStream.range(0, starts)
                .filter(i -> selector.inBackoff(endpoint(String.valueOf(i)), NOW))
                .boxed()
                .toList();
        assertEquals(1_000, kept.size());
        assertEquals(starts - 1_000, kept.getFirst());
    }
}
