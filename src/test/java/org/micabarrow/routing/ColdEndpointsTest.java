package org.micabarrow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.admission.AdmissionControl;
import org.micabarrow.admission.AdmissionControl.Decision;
import org.micabarrow.limits.EntryRank;

/** Tests for how long an endpoint is taken as cold, and what a cold endpoint gets. */
class ColdEndpointsTest {

    private static final long NOW = 100_000;
    private static final long OBJECTIVE_MILLIS = 500;
    private static final ModelProfile MODEL = new ModelProfile("m", 4, 20, 10, 0, 5, 16, 64, 32_768);

    private final ColdEndpoints cold = new ColdEndpoints(
            service -> service.equals("cold-sensitive") ? OptionalDouble.of(20) : OptionalDouble.empty());
    private final EndpointSelector selector = new EndpointSelector("r", PlacementFilter.of(Map.of("h", "r")), cold);
    private final AdmissionControl admission = new AdmissionControl(selector);

    private static EndpointRegistration endpoint(String id, String service) {
        return EndpointRegistration.of(id, service, "10.0.0.1:80", "h", 4, false, Map.of("m", 1L), 16);
    }

    private static RoutingRequest request(Optional<ModelProfile> model) {
        return new RoutingRequest(0, OBJECTIVE_MILLIS, OBJECTIVE_MILLIS, 6_000, model, 0, 0, Set.of());
    }

    // -- how long

    @ParameterizedTest
    @CsvSource({
        // Stated at 0 ms and at 1,000 ms; how much is left at 1,500 ms.
        "3000, 0,    1500",
        "3000, 2000, 1500",
        "3000, 3000, 2500",
        "1000, 0,    0",
        "0,    3000, 2500",
        "-5,   -1,   0",
        "3000, -1,   1500"
    })
    void shouldStayColdUntilLastStatedTimeHasPassed(long first, long second, long left) {
        EndpointStart start = EndpointStart.ofUnknownTime("a");
        cold.stated(start, first, "test", NOW);
        cold.stated(start, second, "test", NOW + 1_000);
        assertEquals(left, cold.leftMillis(start, NOW + 1_500));
        assertEquals(left > 0 ? 1 : 0, cold.count(NOW + 1_500));
    }

    @Test
    void shouldTellStartsOfOneEndpointApart() {
        cold.stated(new EndpointStart("a", OptionalLong.of(1)), 3_000, "test", NOW);
        assertEquals(0, cold.leftMillis(new EndpointStart("a", OptionalLong.of(2)), NOW));
    }

    @Test
    void shouldSetNoLimitWhenServiceSetsNone() {
        EndpointRegistration plain = endpoint("p", "other");
        cold.stated(plain.start(), 3_000, "test", NOW);
        assertEquals(OptionalDouble.empty(), cold.perSecond(plain, NOW));
        assertEquals(OptionalDouble.of(20), coldLimit(endpoint("a", "cold-sensitive")));
    }

    private OptionalDouble coldLimit(EndpointRegistration endpoint) {
        cold.stated(endpoint.start(), 3_000, "test", NOW);
        return cold.perSecond(endpoint, NOW);
    }

    // -- what a cold endpoint gets

    /** Prompts that take longer to read than the cold start adds to a prediction. */
    private static final int BUSY_PROMPT_TOKENS = 2_500;

    private Decision decide(List<EndpointRegistration> endpoints, Optional<ModelProfile> model, long nowMillis) {
        endpoints.forEach(endpoint -> report(endpoint, nowMillis));
        Decision decision = admission.decide(endpoints, request(model), nowMillis);
        if (decision instanceof Decision.Send(EndpointSelection.Selected selected)) {
            selector.load(selected.endpoint().start()).rateLimit().sent(nowMillis);
            selector.load(selected.endpoint().start()).coldLimit().sent(nowMillis);
        }
        return decision;
    }

    /**
     * Has the agent of an endpoint report that this is the only entry, and that the endpoint is idle or, for "busy", has
     * prompts to read.
     */
    private void report(EndpointRegistration endpoint, long nowMillis) {
        EndpointLoad load = selector.load(endpoint.start());
        int promptTokens = endpoint.id().equals("busy") ? BUSY_PROMPT_TOKENS : 0;
        load.reported(new LoadReport(0, promptTokens, false, 1), 1, nowMillis);
        load.rankReported(new EntryRank(0, 1));
        selector.entryCount().reported(1, nowMillis);
    }

    /** The warm endpoint is so busy that the cold one, although it is predicted to be slow, would be faster. */
    @Test
    void shouldSendElsewhereWhenColdEndpointHasGotItsShare() {
        List<EndpointRegistration> both = List.of(endpoint("a", "cold-sensitive"), endpoint("busy", "cold-sensitive"));
        cold.stated(both.getFirst().start(), 3_000, "test", NOW);
        int toCold = 0;
        for (int request = 0; request < 100; request++) {
            Decision.Send sent =
                    assertInstanceOf(Decision.Send.class, decide(both, Optional.of(MODEL), NOW + request * 10L));
            toCold += sent.selection().endpoint().id().equals("a") ? 1 : 0;
        }
        assertEquals(20, toCold, 1);
    }

    @Test
    void shouldWaitForColdEndpointWhenItsTurnComesInTime() {
        List<EndpointRegistration> one = List.of(endpoint("a", "cold-sensitive"));
        cold.stated(one.getFirst().start(), 3_000, "test", NOW);
        assertInstanceOf(Decision.Wait.class, decide(one, Optional.of(MODEL), NOW), "the first turn comes after 50 ms");
        assertInstanceOf(Decision.Send.class, decide(one, Optional.of(MODEL), NOW + 50));
        assertInstanceOf(Decision.Wait.class, decide(one, Optional.of(MODEL), NOW + 60));
        assertInstanceOf(Decision.Send.class, decide(one, Optional.of(MODEL), NOW + 100));
    }

    @Test
    void shouldRefuseWhenTurnComesTooLate() {
        List<EndpointRegistration> one = List.of(endpoint("a", "cold-sensitive"));
        cold.stated(one.getFirst().start(), 3_000, "test", NOW);
        assertInstanceOf(Decision.RateLimited.class, decide(one, Optional.empty(), NOW), "plain requests do not wait");
        assertInstanceOf(Decision.Send.class, decide(one, Optional.empty(), NOW + 50));
    }

    @Test
    void shouldSendWithoutLimitOnceEndpointIsWarm() {
        List<EndpointRegistration> one = List.of(endpoint("a", "cold-sensitive"));
        cold.stated(one.getFirst().start(), 1_000, "test", NOW);
        decide(one, Optional.of(MODEL), NOW);
        for (int request = 0; request < 10; request++) {
            assertInstanceOf(Decision.Send.class, decide(one, Optional.of(MODEL), NOW + 1_000));
        }
    }

    /** A limit that the endpoint states for good binds too, and requests do not wait for it. */
    @Test
    void shouldRefuseWhenEndpointAlsoStatesLimit() {
        List<EndpointRegistration> one = List.of(endpoint("a", "cold-sensitive"));
        cold.stated(one.getFirst().start(), 3_000, "test", NOW);
        selector.load("a").rateLimit().responseReceived(OptionalDouble.of(0.5), NOW, NOW);
        assertInstanceOf(Decision.RateLimited.class, decide(one, Optional.of(MODEL), NOW + 60));
    }
}
