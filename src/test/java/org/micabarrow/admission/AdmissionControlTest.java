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
import org.micabarrow.routing.EndpointSelector;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.routing.ModelProfile;
import org.micabarrow.routing.Wanted;

/** What happens to a request now. */
class AdmissionControlTest {

    private static final int MODEL_TOKENS_PER_MILLI = 20;
    private static final ModelProfile MODEL =
            new ModelProfile("m", 4, MODEL_TOKENS_PER_MILLI, 10, 0, 5, 16, 64, 32_768);
    private static final long OBJECTIVE = 500;
    private static final long CLIENT_MILLIS = 6_000;
    private static final long NOW = 100_000;

    /** Two rounds of steps and 1,000 prompt tokens take 150 ms, and a fifth of the objective is kept. */
    private static final long SPARE = 250;

    private final EndpointSelector choice = new EndpointSelector("r", Map.of("h", "r"));
    private final AdmissionControl admission = new AdmissionControl(choice);
    private final EndpointRegistration endpoint =
            EndpointRegistration.of("a", "s", "10.0.0.1:80", "h", 4, false, Map.of("m", 1L), 16);

    private static Wanted wanted(long millisToObjective, Optional<ModelProfile> model) {
        return new Wanted(
                model.isPresent() ? 1_000 : 0, OBJECTIVE, millisToObjective, CLIENT_MILLIS, model, 0, 0, Set.of());
    }

    private Decision decide(long millisToObjective) {
        return admission.decide(List.of(endpoint), wanted(millisToObjective, Optional.of(MODEL)), NOW);
    }

    private void requestsThere(int requests, int places) {
        choice.load("a").told(new LoadReport(requests, 0, false, 1, places), 1, NOW);
    }

    @Test
    void shouldSendWhenThereIsRoom() {
        assertInstanceOf(Decision.Send.class, decide(OBJECTIVE));
    }

    @Test
    void shouldWaitForAsLongAsAnswerCanBeInTimeWhenAllPlacesAreTaken() {
        requestsThere(4, 0);
        assertEquals(new Decision.Wait(SPARE, 1), decide(OBJECTIVE));
        assertEquals(new Decision.Wait(1, 1), decide(OBJECTIVE - SPARE + 1));
    }

    @Test
    void shouldRefuseAtOnceWhenAnswerCannotBeInTimeAnyMore() {
        requestsThere(4, 0);
        assertEquals(new Decision.Full(1), decide(OBJECTIVE - SPARE));
        assertEquals(new Decision.Full(1), decide(-1_000));
    }

    @Test
    void shouldSendWhatCannotBeInTimeWhileAQuarterOfThePlacesIsFree() {
        requestsThere(2, 2);
        assertInstanceOf(Decision.Send.class, decide(OBJECTIVE - SPARE));
        requestsThere(3, 1);
        assertEquals(new Decision.Full(1), decide(OBJECTIVE - SPARE));
    }

    /** Its prompt alone takes longer than the objective. */
    @Test
    void shouldSendRequestThatCanBeInTimeNowhereWhileAQuarterOfThePlacesIsFree() {
        int promptTokens = 2 * MODEL_TOKENS_PER_MILLI * (int) OBJECTIVE;
        Wanted large =
                new Wanted(promptTokens, OBJECTIVE, OBJECTIVE, CLIENT_MILLIS, Optional.of(MODEL), 0, 0, Set.of());
        requestsThere(2, 2);
        assertInstanceOf(Decision.Send.class, admission.decide(List.of(endpoint), large, NOW));
        requestsThere(3, 1);
        assertEquals(new Decision.Full(1), admission.decide(List.of(endpoint), large, NOW));
    }

    @Test
    void shouldRefuseAtOnceWhenPromptAloneTakesLongerThanClientWaits() {
        int promptTokens = MODEL_TOKENS_PER_MILLI * (int) CLIENT_MILLIS;
        Wanted endless =
                new Wanted(promptTokens, OBJECTIVE, OBJECTIVE, CLIENT_MILLIS, Optional.of(MODEL), 0, 0, Set.of());
        assertEquals(new Decision.Full(1), admission.decide(List.of(endpoint), endless, NOW));
    }

    @Test
    void shouldWaitWhenFreePlacesAreThoseOfOtherEntries() {
        requestsThere(2, 0);
        assertInstanceOf(Decision.Wait.class, decide(OBJECTIVE));
        requestsThere(2, 1);
        assertInstanceOf(Decision.Send.class, decide(OBJECTIVE));
    }

    @Test
    void shouldFillOwnPlaceAgainWhenOwnRequestEnds() {
        choice.load("a").began(0);
        requestsThere(4, 0);
        choice.load("a").ended();
        assertInstanceOf(Decision.Send.class, decide(OBJECTIVE));
    }

    @Test
    void shouldServeLateRequestOnlyWhileAQuarterOfThePlacesIsFree() {
        requestsThere(2, 2);
        assertInstanceOf(Decision.Send.class, decide(-1));
        requestsThere(3, 1);
        assertEquals(new Decision.Full(1), decide(-1));
        assertInstanceOf(Decision.Send.class, decide(OBJECTIVE));
    }

    @Test
    void shouldSayWhenNoEndpointCanServe() {
        assertInstanceOf(
                Decision.Unable.class, admission.decide(List.of(), wanted(OBJECTIVE, Optional.of(MODEL)), NOW));
    }

    @Test
    void shouldRefuseRequestOfPlainServiceAtOnceWhenItIsFull() {
        for (int i = 0; i < 8; i++) {
            choice.load("a").began(0);
        }
        assertEquals(
                new Decision.Full(1), admission.decide(List.of(endpoint), wanted(OBJECTIVE, Optional.empty()), NOW));
    }

    // -- limits

    private void limitOf(String id, double perSecond) {
        choice.load(id).limit().ranked(new EntryRank(0, 1));
        choice.load(id).limit().answered(OptionalDouble.of(perSecond), NOW, NOW);
    }

    @Test
    void shouldRefuseWithNextTurnWhenLimitAllowsNothingNow() {
        requestsThere(0, 4);
        limitOf("a", 2);
        assertEquals(new Decision.Limited(1, OptionalLong.of(500)), decide(OBJECTIVE));
    }

    @Test
    void shouldRefuseWithoutTimeWhenLimitIsLeftToOtherEntries() {
        requestsThere(0, 4);
        choice.load("a").limit().ranked(new EntryRank(10, 11));
        choice.load("a").limit().answered(OptionalDouble.of(2), NOW, NOW);
        assertEquals(new Decision.Limited(1, OptionalLong.empty()), decide(OBJECTIVE));
    }

    @Test
    void shouldSendWhenTurnHasCome() {
        requestsThere(0, 4);
        limitOf("a", 2);
        Wanted wanted = wanted(OBJECTIVE, Optional.of(MODEL));
        admission.decide(List.of(endpoint), wanted, NOW);
        choice.load("a").told(new LoadReport(0, 0, false, 1, 4), 1, NOW + 500);
        assertInstanceOf(Decision.Send.class, admission.decide(List.of(endpoint), wanted, NOW + 500));
    }

    @Test
    void shouldSendToOtherEndpointWhenLimitAllowsNothingNow() {
        EndpointRegistration other = EndpointRegistration.of("b", "s", "10.0.0.2:80", "h", 4, false, Map.of("m", 1L), 16);
        limitOf("a", 2);
        Decision decision = admission.decide(List.of(endpoint, other), wanted(OBJECTIVE, Optional.of(MODEL)), NOW);
        assertEquals(
                "b",
                assertInstanceOf(Decision.Send.class, decision)
                        .chosen()
                        .endpoint()
                        .id());
    }

    @Test
    void shouldWaitForRoomWhenEndpointWithoutLimitIsFull() {
        EndpointRegistration other = EndpointRegistration.of("b", "s", "10.0.0.2:80", "h", 4, false, Map.of("m", 1L), 16);
        limitOf("a", 2);
        choice.load("b").told(new LoadReport(4, 0, false, 1, 0), 1, NOW);
        Decision decision = admission.decide(List.of(endpoint, other), wanted(OBJECTIVE, Optional.of(MODEL)), NOW);
        assertEquals(new Decision.Wait(SPARE, 1), decision);
    }
}
