package org.micabarrow.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.micabarrow.admission.AdmissionControl.Decision;
import org.micabarrow.limits.EntryRank;
import org.micabarrow.routing.AllowedRegions;
import org.micabarrow.routing.EndpointCondition;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.EndpointSelector;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.routing.ModelProfile;
import org.micabarrow.routing.RequestClass;
import org.micabarrow.routing.RequestSize;
import org.micabarrow.routing.RoutingRequest;

class AdmissionControlTest {

    private static final int MODEL_TOKENS_PER_MILLI = 20;
    private static final ModelProfile MODEL =
            new ModelProfile("m", 4, MODEL_TOKENS_PER_MILLI, 10, 0, 5, 16, 64, 32_768);
    private static final long OBJECTIVE = 500;
    private static final long CLIENT_MILLIS = 6_000;
    private static final long NOW = 100_000;

    /** Two rounds of steps and 1,000 prompt tokens take 150 ms, and a fifth of the objective is reserved. */
    private static final long MAX_WAIT = 250;

    private final EndpointSelector selector = new EndpointSelector("r", Map.of("h", "r"));
    private final AdmissionControl admission = new AdmissionControl(selector);
    private final EndpointRegistration endpoint =
            EndpointRegistration.of("a", "s", "10.0.0.1:80", "h", 4, false, Map.of("m", 1L), 16);

    private static RoutingRequest request(long millisToObjective, Optional<ModelProfile> model) {
        return new RoutingRequest(
                model.isPresent() ? 1_000 : 0, OBJECTIVE, millisToObjective, CLIENT_MILLIS, model, 0, 0, Set.of());
    }

    private Decision decide(long millisToObjective) {
        return admission.decide(List.of(endpoint), request(millisToObjective, Optional.of(MODEL)), NOW);
    }

    private void reportLoad(int requests, int allottedSlots) {
        selector.load("a").reported(new LoadReport(requests, 0, false, 1, allottedSlots), 1, NOW);
    }

    @Test
    void shouldSendWhenSlotIsFree() {
        assertInstanceOf(Decision.Send.class, decide(OBJECTIVE));
    }

    @Test
    void shouldWaitAsLongAsResponseCanBeInTimeWhenNoSlotIsFree() {
        reportLoad(4, 0);
        assertEquals(new Decision.Wait(MAX_WAIT, 1), decide(OBJECTIVE));
        assertEquals(new Decision.Wait(1, 1), decide(OBJECTIVE - MAX_WAIT + 1));
    }

    @Test
    void shouldRefuseImmediatelyWhenResponseCanNoLongerBeInTime() {
        reportLoad(4, 0);
        assertEquals(new Decision.Full(1), decide(OBJECTIVE - MAX_WAIT));
        assertEquals(new Decision.Full(1), decide(-1_000));
    }

    @Test
    void shouldSendRequestThatIsTooLateOnlyWhenMoreThanAQuarterOfSlotsIsFree() {
        reportLoad(2, 2);
        assertInstanceOf(Decision.Send.class, decide(OBJECTIVE - MAX_WAIT));
        reportLoad(3, 1);
        assertEquals(new Decision.Full(1), decide(OBJECTIVE - MAX_WAIT));
    }

    /** The prompt alone takes longer than the objective. */
    @Test
    void shouldSendRequestThatIsTooLongOnlyWhenMoreThanAQuarterOfSlotsIsFree() {
        int promptTokens = 2 * MODEL_TOKENS_PER_MILLI * (int) OBJECTIVE;
        RoutingRequest large = new RoutingRequest(
                promptTokens, OBJECTIVE, OBJECTIVE, CLIENT_MILLIS, Optional.of(MODEL), 0, 0, Set.of());
        reportLoad(2, 2);
        assertInstanceOf(Decision.Send.class, admission.decide(List.of(endpoint), large, NOW));
        reportLoad(3, 1);
        assertEquals(new Decision.Full(1), admission.decide(List.of(endpoint), large, NOW));
    }

    @Test
    void shouldRefuseImmediatelyWhenPromptAloneTakesLongerThanClientWaits() {
        int promptTokens = MODEL_TOKENS_PER_MILLI * (int) CLIENT_MILLIS;
        RoutingRequest endless = new RoutingRequest(
                promptTokens, OBJECTIVE, OBJECTIVE, CLIENT_MILLIS, Optional.of(MODEL), 0, 0, Set.of());
        assertEquals(new Decision.Full(1), admission.decide(List.of(endpoint), endless, NOW));
    }

    // -- long prompts

    /** Its prompt alone takes 600 ms, a usual one 50 ms, besides 100 ms for two rounds of steps. */
    private static RoutingRequest longPrompt(long millisToObjective, long remainingMillis) {
        return new RoutingRequest(
                RequestSize.ofPrompt(12_000),
                1_000,
                OBJECTIVE,
                millisToObjective,
                remainingMillis,
                Optional.of(MODEL),
                0,
                0,
                Set.of(),
                AllowedRegions.any(),
                RequestClass.usual());
    }

    private Decision decide(RoutingRequest request) {
        return admission.decide(List.of(endpoint), request, NOW);
    }

    @Test
    void shouldWaitAsLongAsCompetingPromptWhenOwnPromptCannotBeInTime() {
        reportLoad(4, 0);
        assertEquals(new Decision.Wait(MAX_WAIT, 1), decide(longPrompt(OBJECTIVE, CLIENT_MILLIS)));
        assertEquals(new Decision.Full(1), decide(longPrompt(OBJECTIVE - MAX_WAIT, CLIENT_MILLIS)));
    }

    @Test
    void shouldSendWithAnyFreeSlotWhenCompetingPromptWouldBeInTime() {
        reportLoad(3, 1);
        assertInstanceOf(Decision.Send.class, decide(longPrompt(OBJECTIVE, CLIENT_MILLIS)));
        assertEquals(new Decision.Full(1), decide(longPrompt(OBJECTIVE - MAX_WAIT, CLIENT_MILLIS)));
        selector.load("a").requestSent(MODEL_TOKENS_PER_MILLI * (int) MAX_WAIT);
        reportLoad(3, 1);
        assertInstanceOf(Decision.Wait.class, decide(longPrompt(OBJECTIVE, CLIENT_MILLIS)));
    }

    @Test
    void shouldWaitNoLongerThanClientWhenOwnPromptCannotBeInTime() {
        reportLoad(4, 0);
        assertEquals(new Decision.Wait(30, 1), decide(longPrompt(OBJECTIVE, 730)));
        assertEquals(new Decision.Full(1), decide(longPrompt(OBJECTIVE, 700)));
    }

    /** An idle endpoint that is twice as slow as others makes a long prompt no more than a short one wait behind others. */
    @Test
    void shouldSendLateRequestWithLongPromptWhenSlowEndpointIsIdle() {
        EndpointRegistration fast =
                EndpointRegistration.of("b", "s", "10.0.0.2:80", "h", 4, false, Map.of("m", 1L), 16);
        EndpointRegistration alsoFast =
                EndpointRegistration.of("c", "s", "10.0.0.3:80", "h", 4, false, Map.of("m", 1L), 16);
        EndpointCondition slow =
                new EndpointCondition(1, 0, OptionalDouble.of(2), OptionalLong.empty(), OptionalLong.empty());
        selector.load("a").reported(new LoadReport(1, 0, false, 1, 3).withCondition(Optional.of(slow)), 1, NOW);
        selector.load("b").reported(new LoadReport(4, 0, false, 1, 0), 1, NOW);
        selector.load("c").reported(new LoadReport(4, 0, false, 1, 0), 1, NOW);
        Decision decision = admission.decide(List.of(endpoint, fast, alsoFast), longPrompt(-1, CLIENT_MILLIS), NOW);
        assertInstanceOf(Decision.Send.class, decision);
    }

    @Test
    void shouldWaitWhenFreeSlotsAreAllottedToOtherEntries() {
        reportLoad(2, 0);
        assertInstanceOf(Decision.Wait.class, decide(OBJECTIVE));
        reportLoad(2, 1);
        assertInstanceOf(Decision.Send.class, decide(OBJECTIVE));
    }

    @Test
    void shouldReuseOwnSlotWhenOwnRequestEnds() {
        selector.load("a").requestSent(0);
        reportLoad(4, 0);
        selector.load("a").requestEnded();
        assertInstanceOf(Decision.Send.class, decide(OBJECTIVE));
    }

    @Test
    void shouldSendLateRequestOnlyWhenMoreThanAQuarterOfSlotsIsFree() {
        reportLoad(2, 2);
        assertInstanceOf(Decision.Send.class, decide(-1));
        reportLoad(3, 1);
        assertEquals(new Decision.Full(1), decide(-1));
        assertInstanceOf(Decision.Send.class, decide(OBJECTIVE));
    }

    @Test
    void shouldReturnUnableWhenNoEndpointCanServe() {
        assertInstanceOf(
                Decision.Unable.class, admission.decide(List.of(), request(OBJECTIVE, Optional.of(MODEL)), NOW));
    }

    @Test
    void shouldRefuseImmediatelyWhenPlainServiceIsFull() {
        for (int i = 0; i < 8; i++) {
            selector.load("a").requestSent(0);
        }
        assertEquals(
                new Decision.Full(1), admission.decide(List.of(endpoint), request(OBJECTIVE, Optional.empty()), NOW));
    }

    // -- rate limits

    private void stateLimit(String id, double perSecond) {
        selector.load(id).rateLimit().rankReported(new EntryRank(0, 1));
        selector.load(id).rateLimit().responseReceived(OptionalDouble.of(perSecond), NOW, NOW);
    }

    @Test
    void shouldRefuseWithTimeOfNextRequestWhenRateLimitIsReached() {
        reportLoad(0, 4);
        stateLimit("a", 2);
        assertEquals(new Decision.RateLimited(1, OptionalLong.of(500)), decide(OBJECTIVE));
    }

    @Test
    void shouldRefuseWithoutTimeWhenRateLimitIsLeftToOtherEntries() {
        reportLoad(0, 4);
        selector.load("a").rateLimit().rankReported(new EntryRank(10, 11));
        selector.load("a").rateLimit().responseReceived(OptionalDouble.of(2), NOW, NOW);
        assertEquals(new Decision.RateLimited(1, OptionalLong.empty()), decide(OBJECTIVE));
    }

    @Test
    void shouldSendWhenRateLimitPeriodHasPassed() {
        reportLoad(0, 4);
        stateLimit("a", 2);
        RoutingRequest request = request(OBJECTIVE, Optional.of(MODEL));
        admission.decide(List.of(endpoint), request, NOW);
        selector.load("a").reported(new LoadReport(0, 0, false, 1, 4), 1, NOW + 500);
        assertInstanceOf(Decision.Send.class, admission.decide(List.of(endpoint), request, NOW + 500));
    }

    @Test
    void shouldSendToOtherEndpointWhenRateLimitIsReached() {
        EndpointRegistration other =
                EndpointRegistration.of("b", "s", "10.0.0.2:80", "h", 4, false, Map.of("m", 1L), 16);
        stateLimit("a", 2);
        Decision decision = admission.decide(List.of(endpoint, other), request(OBJECTIVE, Optional.of(MODEL)), NOW);
        assertEquals(
                "b",
                assertInstanceOf(Decision.Send.class, decision)
                        .selection()
                        .endpoint()
                        .id());
    }

    @Test
    void shouldWaitForSlotWhenEndpointWithoutRateLimitIsFull() {
        EndpointRegistration other =
                EndpointRegistration.of("b", "s", "10.0.0.2:80", "h", 4, false, Map.of("m", 1L), 16);
        stateLimit("a", 2);
        selector.load("b").reported(new LoadReport(4, 0, false, 1, 0), 1, NOW);
        Decision decision = admission.decide(List.of(endpoint, other), request(OBJECTIVE, Optional.of(MODEL)), NOW);
        assertEquals(new Decision.Wait(MAX_WAIT, 1), decision);
    }
}
