package org.micabarrow.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.micabarrow.admission.ClassAllotment.Allotment;
import org.micabarrow.admission.ClassAllotment.Pool;
import org.micabarrow.admission.SlotGrants.ClassSlots;

class ClassAllotmentTest {

    private static final long NOW = 10_000;
    private static final int SLOTS = 12;
    private static final Pool POOL = new Pool(SLOTS, 10);

    /** Two slots of each endpoint: 80 a second for a quarter of a second, at 10 endpoints. */
    private static final ClassDemand URGENT = new ClassDemand(0, 80, 0);

    private static final ClassDemand BATCH = new ClassDemand(4, 50, 0);

    private final ClassAllotment allotment = new ClassAllotment(new Random(1));

    private static Optional<EntryDemand> demand(ClassDemand... classes) {
        return Optional.of(new EntryDemand(List.of(classes), List.of()));
    }

    private Allotment allot(String entry, Optional<EntryDemand> demand, int freeSlots, long nowMillis) {
        return allotment.allot(entry, 0, demand, freeSlots, () -> POOL, nowMillis);
    }

    private static int granted(Allotment allotted, int priority) {
        return allotted.grants().orElseThrow().classes().stream()
                .filter(one -> one.priority() >= priority)
                .mapToInt(ClassSlots::slots)
                .sum();
    }

    private static boolean lists(Allotment allotted, int priority) {
        return allotted.grants().orElseThrow().classes().stream().anyMatch(one -> one.priority() >= priority);
    }

    @Test
    void shouldAllotAsWithoutClassesWhenAllHaveOnePriority() {
        SlotAllotment undivided = new SlotAllotment(new Random(1));
        Random random = new Random(2);
        for (int i = 0; i < 1_000; i++) {
            String entry = "entry-" + random.nextInt(5);
            int unmet = random.nextInt(20);
            int free = random.nextInt(6);
            long now = NOW + 20L * i;
            Optional<EntryDemand> told = random.nextBoolean() ? demand(BATCH) : demand();
            Allotment allotted = allotment.allot(entry, unmet, told, free, () -> POOL, now);
            assertEquals(new Allotment(undivided.allot(entry, unmet, free, now), Optional.empty()), allotted);
        }
    }

    @Test
    void shouldKeepSlotsFreeForUrgentWhenTheyArriveElsewhere() {
        allot("urgent", demand(URGENT), 2, NOW);
        int toBatch = 0;
        int toUrgent = 0;
        for (int i = 1; i <= 100; i++) {
            Allotment batch = allot("batch", demand(BATCH), 2, NOW + i);
            toBatch += granted(batch, 4);
            toUrgent += granted(allot("urgent", demand(URGENT), 2, NOW + i), 0);
        }
        assertEquals(0, toBatch);
        assertTrue(toUrgent >= 195, "the entry with all urgent requests gets what is reserved: " + toUrgent);
    }

    @Test
    void shouldForbidReuseWhenReserveIsNotFree() {
        allot("urgent", demand(URGENT), 0, NOW);
        Allotment batch = allot("batch", demand(BATCH), 0, NOW + 1);
        assertTrue(lists(batch, 0), "urgent requests may follow those that end");
        assertTrue(!lists(batch, 4), "others may not");
    }

    @Test
    void shouldLendReserveWhenUrgentStopArriving() {
        allot("urgent", demand(URGENT), 2, NOW);
        long later = NOW + 1_001;
        Allotment batch = allot("batch", demand(BATCH), 2, later);
        assertEquals(new Allotment(2, Optional.empty()), batch);
    }

    @Test
    void shouldReserveMoreWhenUrgentWait() {
        ClassDemand waiting = new ClassDemand(0, 0, 20);
        allot("urgent", demand(waiting), 2, NOW);
        assertEquals(0, granted(allot("batch", demand(BATCH), 2, NOW + 1), 4));
    }

    @Test
    void shouldNotReserveMoreThanQuarterWhenUrgentDemandIsAbsurd() {
        allot("urgent", demand(new ClassDemand(0, 65_535, 65_535)), 4, NOW);
        int toBatch = 0;
        for (int i = 1; i <= 20; i++) {
            Allotment batch = allot("batch", demand(BATCH), 4, NOW + i);
            assertTrue(lists(batch, 4));
            toBatch += granted(batch, 4);
        }
        assertTrue(toBatch > 0);
    }

    @Test
    void shouldAllotUnreservedSlotsWhenEntryIsOfFormerBuild() {
        allot("urgent", demand(URGENT, BATCH), 2, NOW);
        Allotment former = allotment.allot("former", 0, Optional.empty(), 2, () -> POOL, NOW + 1);
        assertEquals(new Allotment(0, Optional.empty()), former);
    }

    @Test
    void shouldForgetDemandOfEntryWhenItStopsQuerying() {
        allot("dying", demand(URGENT), 2, NOW);
        allot("batch", demand(BATCH), 2, NOW + 900);
        Allotment batch = allot("batch", demand(BATCH), 3, NOW + 1_800);
        assertEquals(Optional.empty(), batch.grants());
        assertTrue(batch.slots() > 0);
    }

    @Test
    void shouldTellHeaviestOrganisationsOverAllEntries() {
        EntryDemand first =
                new EntryDemand(List.of(URGENT), List.of(new OrganisationUsage(1, 100), new OrganisationUsage(2, 90)));
        EntryDemand second =
                new EntryDemand(List.of(BATCH), List.of(new OrganisationUsage(2, 80), new OrganisationUsage(3, 70)));
        allot("first", Optional.of(first), 0, NOW);
        Allotment allotted = allot("second", Optional.of(second), 0, NOW + 1);
        assertEquals(
                List.of(new OrganisationUsage(2, 170), new OrganisationUsage(1, 100), new OrganisationUsage(3, 70)),
                allotted.grants().orElseThrow().organisations());
    }

    @Test
    void shouldGrantAtMostWhatFitsIntoMessageWhenThereAreManyPriorities() {
        for (int i = 0; i < 20; i++) {
            allot("entry-" + i, demand(new ClassDemand(10 * i, 50, 3)), 4, NOW + i);
        }
        Allotment allotted = allot("entry-0", demand(new ClassDemand(0, 50, 3)), 4, NOW + 30);
        assertTrue(allotted.grants().orElseThrow().classes().size() <= EntryDemand.MAX_CLASSES);
    }
}
