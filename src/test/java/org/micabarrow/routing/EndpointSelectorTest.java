package org.micabarrow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Where requests are sent. */
class EndpointSelectorTest {

    private static final ModelProfile MODEL = new ModelProfile("m", 4, 20, 10, 0, 5, 16, 64, 32_768);
    private static final long NOW = 100_000;

    private final EndpointSelector choice = new EndpointSelector("r1", Map.of("h1", "r1", "h2", "r2"));

    private static EndpointRegistration endpoint(String id, String hall, boolean leaving, long version, int layers) {
        Map<String, Long> models = version == 0 ? Map.of() : Map.of("m", version);
        return EndpointRegistration.of(id, "s", "10.0.0.1:80", hall, 4, leaving, models, layers);
    }

    private static EndpointRegistration endpoint(String id) {
        return endpoint(id, "h1", false, 1, 16);
    }

    private static EndpointRegistration started(long startedMillis, long version) {
        Map<String, Long> models = version == 0 ? Map.of() : Map.of("m", version);
        return EndpointRegistration.of("a", "s", "10.0.0.1:80", "h1", 4, false, models, 16)
                .withStart(OptionalLong.of(startedMillis));
    }

    private static Wanted wanted(long leastVersion, Set<String> tried) {
        return new Wanted(1_000, 500, Optional.of(MODEL), leastVersion, 0, tried);
    }

    private EndpointSelection choose(EndpointRegistration... endpoints) {
        return choice.choose(List.of(endpoints), wanted(0, Set.of()), NOW);
    }

    private static String chosen(EndpointSelection made) {
        return assertInstanceOf(EndpointSelection.Send.class, made).endpoint().id();
    }

    @Test
    void shouldPassOverEndpointsThatCannotServe() {
        EndpointRegistration leaving = endpoint("a", "h1", true, 1, 16);
        EndpointRegistration empty = endpoint("b", "h1", false, 0, 16);
        EndpointRegistration partial = endpoint("c", "h1", false, 1, 3);
        assertInstanceOf(EndpointSelection.None.class, choose(leaving, empty, partial));
        assertEquals("d", chosen(choose(leaving, empty, partial, endpoint("d"))));
    }

    @Test
    void shouldDemandNewestVersionOnceOlderOnesMayNotAnswer() {
        EndpointRegistration old = endpoint("a", "h1", false, 1, 16);
        EndpointRegistration renewed = endpoint("b", "h2", false, 2, 16);
        assertEquals("b", chosen(choice.choose(List.of(old, renewed), wanted(2, Set.of()), NOW)));
    }

    @Test
    void shouldPreferOwnRegionUntilItsQueueCostsMore() {
        EndpointRegistration near = endpoint("a", "h1", false, 1, 16);
        EndpointRegistration far = endpoint("b", "h2", false, 1, 16);
        assertEquals("a", chosen(choose(near, far)));
        choice.load("a").began(3_000);
        assertEquals("b", chosen(choose(near, far)));
    }

    @Test
    void shouldSayFullWhenObjectiveCannotBeMet() {
        choice.load("a").began(8_000);
        assertInstanceOf(EndpointSelection.Full.class, choose(endpoint("a")));
    }

    @Test
    void shouldCountWhatOtherEntriesHaveThere() {
        choice.load("a").told(new LoadReport(4, 0, false, 1), 10, NOW);
        assertInstanceOf(EndpointSelection.Full.class, choose(endpoint("a")));
        choice.load("b").told(new LoadReport(1, 9_000, false, 1), 10, NOW);
        assertInstanceOf(EndpointSelection.Full.class, choose(endpoint("b")));
    }

    @Test
    void shouldNotChooseEndpointThatTakesUpWeights() {
        choice.load("a").told(new LoadReport(0, 0, true, 1), 10, NOW);
        assertEquals("b", chosen(choose(endpoint("a"), endpoint("b"))));
    }

    @Test
    void shouldPassOverEndpointWhoseAgentFellSilent() {
        choice.load("a").told(new LoadReport(0, 0, false, 1), 10, NOW - 1_000);
        choice.load("b").told(new LoadReport(2, 0, false, 1), 10, NOW - 100);
        assertEquals("b", chosen(choose(endpoint("a"), endpoint("b"))));
    }

    @Test
    void shouldUseSilentEndpointWhenAllAreSilent() {
        choice.load("a").told(new LoadReport(0, 0, false, 1), 10, NOW - 5_000);
        assertEquals("a", chosen(choose(endpoint("a"))));
    }

    @Test
    void shouldPassOverEndpointBehindSlowLink() {
        choice.load("a").told(new LoadReport(0, 0, false, 1), 2_200, NOW);
        choice.load("b").told(new LoadReport(2, 0, false, 1), 100, NOW);
        assertEquals("b", chosen(choose(endpoint("a"), endpoint("b"))));
        assertEquals("a", chosen(choose(endpoint("a"))), "no other can serve");
    }

    @Test
    void shouldSendNothingThroughSlowLinkWhenNewerVersionIsNamed() {
        choice.load("a").told(new LoadReport(0, 0, false, 1), 2_200, NOW);
        Wanted wanted = new Wanted(1_000, 500, Optional.of(MODEL), 0, 2, Set.of());
        assertInstanceOf(EndpointSelection.None.class, choice.choose(List.of(endpoint("a")), wanted, NOW));
        EndpointRegistration renewed = endpoint("a", "h1", false, 2, 16);
        assertInstanceOf(EndpointSelection.Send.class, choice.choose(List.of(renewed), wanted, NOW));
    }

    @Test
    void shouldSendNothingThroughLinkThatWasSlowLatelyWhenNewerVersionIsNamed() {
        choice.load("a").told(new LoadReport(0, 0, false, 1), 900, NOW - 500);
        choice.load("a").told(new LoadReport(0, 0, false, 1), 10, NOW);
        Wanted newer = new Wanted(1_000, 500, Optional.of(MODEL), 0, 2, Set.of());
        assertInstanceOf(EndpointSelection.None.class, choice.choose(List.of(endpoint("a")), newer, NOW));
        assertEquals("a", chosen(choose(endpoint("a"))), "no newer version is named");
        choice.load("a").told(new LoadReport(0, 0, false, 1), 10, NOW + 5_000);
        assertInstanceOf(EndpointSelection.Send.class, choice.choose(List.of(endpoint("a")), newer, NOW + 5_000));
    }

    @Test
    void shouldSendNothingWhileAgentIsSilentWhenNewerVersionIsNamed() {
        choice.load("a").told(new LoadReport(0, 0, false, 1), 10, NOW - 1_000);
        choice.load("a").heard(NOW - 50);
        Wanted wanted = new Wanted(1_000, 500, Optional.of(MODEL), 0, 2, Set.of());
        assertInstanceOf(EndpointSelection.None.class, choice.choose(List.of(endpoint("a")), wanted, NOW));
        assertEquals("a", chosen(choose(endpoint("a"))), "no newer version is named");
    }

    @Test
    void shouldNotUseSilentEndpointWhileOthersAreHeard() {
        choice.load("a").told(new LoadReport(0, 0, false, 1), 10, NOW - 1_000);
        choice.load("b").told(new LoadReport(0, 0, true, 1), 10, NOW - 100);
        assertInstanceOf(EndpointSelection.None.class, choose(endpoint("a"), endpoint("b")), "b takes up weights, a stands still");
    }

    @Test
    void shouldUseEndpointThatAnswersWhileItsAgentIsGone() {
        choice.load("a").told(new LoadReport(0, 0, false, 1), 10, NOW - 1_000);
        choice.load("a").heard(NOW - 50);
        choice.load("b").told(new LoadReport(0, 0, true, 1), 10, NOW - 100);
        assertEquals("a", chosen(choose(endpoint("a"), endpoint("b"))));
    }

    @Test
    void shouldLeaveOutEndpointAfterItBroke() {
        choice.load("a").failures().broke(NOW);
        assertEquals("b", chosen(choose(endpoint("a"), endpoint("b"))));
        choice.load("b").failures().broke(NOW);
        assertInstanceOf(EndpointSelection.Send.class, choose(endpoint("a"), endpoint("b")), "all are out, so one must do");
    }

    @Test
    void shouldLeaveOutEndpointWhoseAddressIsAnothers() {
        choice.load("a").failures().misdirected(NOW);
        assertEquals("b", chosen(choose(endpoint("a"), endpoint("b", "h2", false, 1, 16))));
    }

    @Test
    void shouldTakeEndpointBackWhenItsExclusionEnds() {
        choice.load("a").failures().broke(NOW - 1_001);
        choice.load("b").began(1_000);
        assertEquals("a", chosen(choose(endpoint("a"), endpoint("b"))));
    }

    @Test
    void shouldNotSendTwiceToTheSameEndpoint() {
        assertInstanceOf(EndpointSelection.None.class, choice.choose(List.of(endpoint("a")), wanted(0, Set.of("a")), NOW));
    }

    @Test
    void shouldAskAgentFirstOnlyWhenItsEndpointHoldsOlderVersionThanWasNamed() {
        Wanted newer = new Wanted(1_000, 500, Optional.of(MODEL), 0, 2, Set.of());
        EndpointRegistration old = endpoint("a", "h1", false, 1, 16);
        assertFalse(choice.mustAsk(old, newer), "no agent was ever heard beside it");
        choice.load("a").told(new LoadReport(0, 0, false, 1), 10, NOW);
        assertTrue(choice.mustAsk(old, newer));
        assertFalse(choice.mustAsk(old, wanted(0, Set.of())), "nothing newer was named");
        choice.load("a").told(new LoadReport(0, 0, false, 2), 10, NOW);
        assertFalse(choice.mustAsk(old, newer), "it has changed versions since its entry was written");
    }

    @Test
    void shouldSendNothingWhereAgentLeftQuestionUnansweredWhenNewerVersionIsNamed() {
        Wanted newer = new Wanted(1_000, 500, Optional.of(MODEL), 0, 2, Set.of());
        EndpointRegistration old = endpoint("a", "h1", false, 1, 16);
        choice.load("a").told(new LoadReport(0, 0, false, 1), 10, NOW);
        choice.load("a").notAnswered();
        assertFalse(choice.able(old, newer, NOW));
        assertTrue(choice.able(old, wanted(0, Set.of()), NOW), "any version may answer");
        choice.load("a").told(new LoadReport(0, 0, false, 1), 10, NOW);
        assertTrue(choice.able(old, newer, NOW));
    }

    // -- endpoints that start again under their id

    @Test
    void shouldNotBelieveThatEndpointHoldsWhatItsFormerStartHeld() {
        choice.load(started(5_000, 1).start()).told(new LoadReport(0, 0, false, 3), 10, NOW);
        choice.load(started(5_000, 1).start()).answeredBy(3);
        assertInstanceOf(EndpointSelection.None.class, choose(started(9_000, 0)));
        choice.load(started(9_000, 0).start()).told(new LoadReport(0, 0, false, 1), 10, NOW);
        assertEquals("a", chosen(choose(started(9_000, 0))));
    }

    @Test
    void shouldCountNoRequestsOfFormerStartAtNewOne() {
        EndpointLoad former = choice.load(started(5_000, 1).start());
        former.began(8_000);
        assertEquals("a", chosen(choose(started(9_000, 1))));
        EndpointLoad present = choice.load(started(9_000, 1).start());
        present.began(100);
        former.ended();
        assertEquals(1, present.requests(NOW));
        assertEquals(100, present.ownPromptTokens());
    }

    @Test
    void shouldNotHoldFailuresOfFormerStartAgainstNewOne() {
        choice.load(started(5_000, 1).start()).failures().broke(NOW);
        choice.load("b").began(1_000);
        assertEquals("a", chosen(choose(started(9_000, 1), endpoint("b"))));
    }

    @Test
    void shouldSendNothingToStartThatIsOverByItsAgent() {
        EndpointLoad load = choice.load(started(5_000, 1).start());
        load.told(new LoadReport(0, 0, false, 1), 10, NOW);
        load.toldOfAnotherStart();
        assertInstanceOf(EndpointSelection.None.class, choose(started(5_000, 1)));
        load.told(new LoadReport(0, 0, false, 1), 10, NOW);
        assertEquals("a", chosen(choose(started(5_000, 1))), "the agent was behind the entry for a moment");
    }

    @Test
    void shouldForgetFormerStartOnceNothingWaitsThere() {
        EndpointStart former = started(5_000, 1).start();
        choice.load(former).began(10);
        choice.keepOnly(List.of(started(9_000, 1)));
        assertTrue(choice.awaits(former));
        choice.load(former).ended();
        choice.load(former).answeredBy(3);
        choice.keepOnly(List.of(started(9_000, 1)));
        assertEquals(0, choice.load(former).version());
    }
}
