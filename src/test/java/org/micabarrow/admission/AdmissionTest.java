package org.micabarrow.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.micabarrow.admission.Admission.Decision;
import org.micabarrow.routing.EndpointChoice;
import org.micabarrow.routing.EndpointEntry;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.routing.ModelService;
import org.micabarrow.routing.Wanted;

/** What happens to a request now. */
class AdmissionTest {

    private static final int MODEL_TOKENS_PER_MILLI = 20;
    private static final ModelService MODEL =
            new ModelService("m", 4, MODEL_TOKENS_PER_MILLI, 10, 0, 5, 16, 64, 32_768);
    private static final long OBJECTIVE = 500;
    private static final long CLIENT_MILLIS = 6_000;
    private static final long NOW = 100_000;

    /** Two rounds of steps and 1,000 prompt tokens take 150 ms, and a fifth of the objective is kept. */
    private static final long SPARE = 250;

    private final EndpointChoice choice = new EndpointChoice("r", Map.of("h", "r"));
    private final Admission admission = new Admission(choice);
    private final EndpointEntry endpoint =
            EndpointEntry.of("a", "s", "10.0.0.1:80", "h", 4, false, Map.of("m", 1L), 16);

    private static Wanted wanted(long millisToObjective, Optional<ModelService> model) {
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
}
