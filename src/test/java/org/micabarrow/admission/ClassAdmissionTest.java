package org.micabarrow.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.micabarrow.admission.ClassAdmission.Standing;
import org.micabarrow.routing.RequestClass;
import org.micabarrow.routing.RequestSize;

class ClassAdmissionTest {

    private static final long NOW = 10_000;
    private static final RequestSize SIZE = RequestSize.ofPrompt(100);
    private static final RequestClass URGENT = new RequestClass(0, Optional.of("a"));
    private static final RequestClass BATCH = new RequestClass(2, Optional.of("a"));
    private static final int LOWEST_PRIORITY = 255;

    private final ClassAdmission admission = new ClassAdmission();

    private void arrive(RequestClass requestClass, int count) {
        for (int i = 0; i < count; i++) {
            admission.arrived(requestClass, SIZE, 400, false, NOW);
        }
    }

    private void end(RequestClass requestClass, RequestSize size, int sent, int refused) {
        for (int i = 0; i < sent; i++) {
            admission.sent(requestClass, requestClass, size, NOW);
        }
        for (int i = 0; i < refused; i++) {
            admission.refused(requestClass, size, NOW);
        }
    }

    private int level(RequestClass requestClass) {
        return admission.competing(requestClass, SIZE, false, NOW).priority();
    }

    private static RequestClass of(int priority, String organisation) {
        return new RequestClass(priority, Optional.of(organisation));
    }

    // -- one priority

    @Test
    void shouldChangeNothingWhenAllHaveOnePriority() {
        arrive(BATCH, 100);
        end(BATCH, SIZE, 1, 99);
        RequestClass competing = admission.competing(BATCH, SIZE, false, NOW);
        assertEquals(competing, admission.competing(BATCH, SIZE, true, NOW));
        assertEquals(competing, admission.competing(of(2, "a"), RequestSize.ofPrompt(4_000), false, NOW));
        assertEquals(OptionalLong.empty(), competing.maxFirstEventMillis());
        assertEquals(EntryDemand.none(), admission.demand(Map.of(2, 5), NOW));
        assertFalse(admission.waitsInVain(BATCH, Map.of(4, 500), 300, NOW));
        assertEquals(1_800, admission.retryAfterMillis(BATCH, Map.of(2, 50), 1_800, NOW));
    }

    @Test
    void shouldNotDivideWhenFewRequestsProbeAnotherPriority() {
        arrive(BATCH, 200);
        arrive(URGENT, 3);
        assertEquals(EntryDemand.none(), admission.demand(Map.of(), NOW));
    }

    // -- classes

    @Test
    void shouldRankByPriorityWhenPrioritiesDiffer() {
        arrive(BATCH, 10);
        arrive(URGENT, 10);
        assertTrue(level(URGENT) < level(BATCH));
        assertEquals(
                LOWEST_PRIORITY, admission.competing(URGENT, SIZE, true, NOW).priority());
        assertEquals(
                OptionalLong.empty(),
                admission.competing(URGENT, SIZE, false, NOW).maxFirstEventMillis());
        assertEquals(
                OptionalLong.of(200),
                admission.competing(BATCH, SIZE, false, NOW).maxFirstEventMillis());
    }

    @Test
    void shouldNotLimitPromptsWhenNoUrgentRequestCameLately() {
        arrive(BATCH, 10);
        arrive(URGENT, 10);
        assertEquals(
                OptionalLong.of(200),
                admission.competing(BATCH, SIZE, false, NOW + 2_000).maxFirstEventMillis());
        assertEquals(
                OptionalLong.empty(),
                admission.competing(BATCH, SIZE, false, NOW + 2_001).maxFirstEventMillis());
    }

    @Test
    void shouldTellArrivalsAndWaitingWhenPrioritiesDiffer() {
        arrive(BATCH, 10);
        arrive(URGENT, 10);
        arrive(BATCH, 10);
        List<ClassDemand> classes =
                admission.demand(Map.of(level(BATCH), 7), NOW).classes();
        assertEquals(new ClassDemand(level(BATCH), 10, 7), classes.getLast());
        assertEquals(2, classes.size());
    }

    @Test
    void shouldCompeteWithMostUrgentWhenClassIsBelowItsFloor() {
        arrive(BATCH, 10);
        arrive(URGENT, 10);
        end(URGENT, SIZE, 40, 0);
        end(BATCH, SIZE, 1, 9);
        assertEquals(Standing.BELOW_ITS_FLOOR, admission.standing(BATCH, SIZE, NOW));
        assertEquals(level(URGENT), level(BATCH));
        end(BATCH, SIZE, 10, 0);
        assertEquals(Standing.USUAL, admission.standing(BATCH, SIZE, NOW));
    }

    @Test
    void shouldCompeteWithMostUrgentWhenLargePromptsAreBelowTheirFloor() {
        arrive(BATCH, 10);
        arrive(URGENT, 10);
        for (int i = 0; i < 100; i++) {
            boolean large = i % 10 == 0;
            end(BATCH, RequestSize.ofPrompt(large ? 3_000 : 100 + i % 10), large ? 0 : 1, large ? 1 : 0);
        }
        assertEquals(Standing.BELOW_ITS_FLOOR, admission.standing(BATCH, RequestSize.ofPrompt(3_000), NOW));
        assertEquals(Standing.USUAL, admission.standing(BATCH, RequestSize.ofPrompt(100), NOW));
    }

    // -- organisations

    /** Nine of ten requests of the loud one are refused, and a few of the others. */
    private void loadOrganisations(int loudSent) {
        arrive(BATCH, 10);
        arrive(URGENT, 10);
        end(of(2, "loud"), SIZE, loudSent, 100 - loudSent);
        end(of(2, "b"), SIZE, 10, 0);
        end(of(2, "c"), SIZE, 9, 1);
    }

    @Test
    void shouldRankOrganisationBehindItsClassWhenItIsOverItsPart() {
        loadOrganisations(50);
        assertEquals(Standing.OVER_ITS_PART, admission.standing(of(2, "loud"), SIZE, NOW));
        assertEquals(Standing.USUAL, admission.standing(of(2, "b"), SIZE, NOW));
        assertEquals(Standing.USUAL, admission.standing(of(2, "c"), SIZE, NOW));
        assertEquals(level(of(2, "b")) + 1, level(of(2, "loud")));
        assertTrue(level(of(1, "loud")) < level(of(2, "b")), "it keeps its place in other classes");
    }

    @Test
    void shouldCountNoOrganisationOverItsPartWhenNearlyAllAreServed() {
        loadOrganisations(98);
        assertEquals(Standing.USUAL, admission.standing(of(2, "loud"), SIZE, NOW));
    }

    @Test
    void shouldForgetUseWhenTimePasses() {
        loadOrganisations(50);
        long later = NOW + 60_000;
        arrive(BATCH, 1);
        assertEquals(Standing.USUAL, admission.standing(of(2, "c"), SIZE, later));
    }

    @Test
    void shouldCountUseAtOtherEntriesWhenAgentsTellIt() {
        arrive(BATCH, 10);
        arrive(URGENT, 10);
        end(of(2, "loud"), SIZE, 10, 20);
        end(of(2, "b"), SIZE, 12, 0);
        end(of(2, "c"), SIZE, 12, 0);
        assertEquals(Standing.USUAL, admission.standing(of(2, "loud"), SIZE, NOW));
        int elsewhere = 4 * 10 * 100;
        admission.granted(
                new SlotGrants(List.of(), List.of(new OrganisationUsage(OrganisationUsage.token("loud"), elsewhere))),
                4,
                NOW);
        assertEquals(Standing.OVER_ITS_PART, admission.standing(of(2, "loud"), SIZE, NOW));
        assertEquals(Standing.USUAL, admission.standing(of(2, "loud"), SIZE, NOW + 1_001), "the totals expire");
    }

    @Test
    void shouldTellHeaviestOrganisationsWhenPrioritiesDiffer() {
        arrive(BATCH, 10);
        arrive(URGENT, 10);
        for (int i = 0; i < 10; i++) {
            end(of(2, "o" + i), SIZE, i + 1, 0);
        }
        List<OrganisationUsage> told = admission.demand(Map.of(), NOW).organisations();
        assertEquals(EntryDemand.MAX_ORGANISATIONS, told.size());
        assertEquals(OrganisationUsage.token("o9"), told.getFirst().token());
        assertEquals(10 * 100 / 2, told.getFirst().tokensPerSecond());
    }

    // -- waits

    @Test
    void shouldExpectToWaitInVainByTheRateOfTheClass() {
        arrive(BATCH, 10);
        arrive(URGENT, 10);
        end(URGENT, SIZE, 10, 0);
        end(BATCH, SIZE, 10, 0);
        assertTrue(admission.waitsInVain(BATCH, Map.of(0, 4, 2, 6, 4, 9), 599, NOW));
        assertFalse(admission.waitsInVain(BATCH, Map.of(0, 4, 2, 6, 4, 9), 600, NOW));
        assertFalse(admission.waitsInVain(BATCH, Map.of(2, 60), 299, NOW), "short waits are not forecast");
        assertFalse(admission.waitsInVain(URGENT, Map.of(0, 40), 300, NOW), "the most urgent are given slots first");
        assertFalse(admission.waitsInVain(BATCH, Map.of(), 300, NOW));
    }

    @Test
    void shouldTellWhenThoseThatWaitAreSentWhenShortagePasses() {
        arrive(BATCH, 10);
        arrive(URGENT, 10);
        RequestClass competing = new RequestClass(level(BATCH), BATCH.organisation());
        for (int i = 0; i < 20; i++) {
            admission.sent(BATCH, competing, SIZE, NOW);
            admission.sent(URGENT, URGENT, SIZE, NOW);
        }
        assertEquals(1_000, admission.retryAfterMillis(BATCH, Map.of(level(BATCH), 20), 1_800, NOW));
        end(BATCH, SIZE, 0, 20);
        assertEquals(1_800, admission.retryAfterMillis(BATCH, Map.of(level(BATCH), 20), 1_800, NOW));
    }
}
