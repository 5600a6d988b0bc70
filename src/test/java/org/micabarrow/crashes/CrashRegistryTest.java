package org.micabarrow.crashes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.micabarrow.crashes.PoisonDetectorTest.digest;

import java.util.Set;
import org.junit.jupiter.api.Test;

class CrashRegistryTest {

    private static final long MEMORY_MILLIS = 600_000;
    private static final int MAX_CRASHES = 10;
    private static final RequestDigest POISON = digest("a");
    private static final RequestDigest HARMLESS = digest("b");

    private final CrashRegistry registry = new CrashRegistry(MEMORY_MILLIS, MAX_CRASHES, () -> 30);

    private void crash(String endpoint, long atMillis, RequestDigest... unanswered) {
        registry.crashed(new EndpointCrash(endpoint, Set.of(unanswered), Set.of()), atMillis);
    }

    private void threeCrashes() {
        crash("e1", 0, POISON, HARMLESS);
        crash("e2", 5_000, POISON);
        crash("e3", 9_000, POISON);
    }

    @Test
    void shouldRefuseUntilLastCrashExpiresWhenThreeEndpointsCrashed() {
        threeCrashes();
        assertEquals(
                new SuspicionLevel.Refused(Set.of(POISON), 3, MEMORY_MILLIS - 1_000),
                registry.suspicion(RequestCauses.of(POISON), 10_000));
        assertEquals(Set.of(POISON), registry.refused());
    }

    @Test
    void shouldClearOthersWhenPoisonRequestExplainsTheirCrash() {
        crash("e1", 0, POISON, HARMLESS);
        assertEquals(
                new SuspicionLevel.Suspected(HARMLESS, 1, 100), registry.suspicion(RequestCauses.of(HARMLESS), 100));
        threeCrashes();
        assertInstanceOf(SuspicionLevel.Unsuspected.class, registry.suspicion(RequestCauses.of(HARMLESS), 10_000));
    }

    /** Guards against a poison request that is served again, since another one was in flight at most of its crashes. */
    @Test
    void shouldRefuseStillWhenAnotherPoisonRequestExplainsItsCrashes() {
        RequestDigest other = digest("other");
        crash("e1", 0, POISON);
        crash("e2", 2_000, POISON);
        crash("e3", 4_000, POISON, other);
        crash("e4", 6_000, POISON, other);
        assertInstanceOf(SuspicionLevel.Refused.class, registry.suspicion(RequestCauses.of(POISON), 7_000));
        for (int i = 0; i < 5; i++) {
            crash("others-" + i, 8_000 + 2_000 * i, other);
        }
        assertEquals(Set.of(POISON, other), registry.refused());
    }

    /** Guards against a harmless request that is refused until its crashes expire although another one caused them all. */
    @Test
    void shouldServeAgainWhenPoisonRequestExplainsAllItsCrashes() {
        for (int i = 0; i < 6; i++) {
            crash("shared-" + i, 2_000 * i, POISON, HARMLESS);
        }
        assertInstanceOf(SuspicionLevel.Refused.class, registry.suspicion(RequestCauses.of(HARMLESS), 11_000));
        crash("sole", 12_000, POISON);
        assertInstanceOf(SuspicionLevel.Unsuspected.class, registry.suspicion(RequestCauses.of(HARMLESS), 13_000));
        assertInstanceOf(SuspicionLevel.Refused.class, registry.suspicion(RequestCauses.of(POISON), 13_000));
    }

    @Test
    void shouldCountCrashOnceWhenSeveralProcessesReportIt() {
        crash("e1", 0, POISON);
        crash("e1", 50, POISON, HARMLESS);
        assertEquals(new SuspicionLevel.Suspected(POISON, 1, 100), registry.suspicion(RequestCauses.of(POISON), 100));
        assertEquals(
                new SuspicionLevel.Suspected(HARMLESS, 1, 100), registry.suspicion(RequestCauses.of(HARMLESS), 100));
    }

    @Test
    void shouldResetSuspicionWhenRequestIsAnswered() {
        crash("e1", 0, POISON);
        crash("e2", 5_000, POISON);
        assertEquals(2, registry.cleared(POISON, true));
        crash("e3", 9_000, POISON);
        assertEquals(new SuspicionLevel.Suspected(POISON, 1, 0), registry.suspicion(RequestCauses.of(POISON), 10_000));
    }

    @Test
    void shouldStayClearedWhenCrashIsReportedAgain() {
        crash("e1", 0, POISON);
        registry.cleared(POISON, true);
        crash("e1", 50, POISON);
        assertInstanceOf(SuspicionLevel.Unsuspected.class, registry.suspicion(RequestCauses.of(POISON), 100));
    }

    @Test
    void shouldClearOnlyUnansweredCrashesWhenPartOfResponseArrived() {
        crash("e1", 0, POISON);
        crash("e2", 5_000, POISON);
        assertEquals(2, registry.cleared(POISON, false));
        assertInstanceOf(SuspicionLevel.Unsuspected.class, registry.suspicion(RequestCauses.of(POISON), 6_000));
        crash("e3", 9_000, POISON);
        assertEquals(new SuspicionLevel.Suspected(POISON, 1, 0), registry.suspicion(RequestCauses.of(POISON), 10_000));
    }

    @Test
    void shouldServeAgainWhenLastCrashExpires() {
        threeCrashes();
        registry.expire(9_000 + MEMORY_MILLIS - 1);
        assertInstanceOf(
                SuspicionLevel.Refused.class, registry.suspicion(RequestCauses.of(POISON), 9_000 + MEMORY_MILLIS - 1));
        assertInstanceOf(
                SuspicionLevel.Unsuspected.class, registry.suspicion(RequestCauses.of(POISON), 9_000 + MEMORY_MILLIS));
        registry.expire(9_000 + MEMORY_MILLIS);
        assertEquals(0, registry.crashCount());
        assertFalse(registry.hasSuspects());
    }

    @Test
    void shouldDropOldestCrashesWhenThereAreTooMany() {
        for (int i = 0; i < 5 * MAX_CRASHES; i++) {
            crash("e" + i, i * 10_000L, digest("c" + i));
        }
        assertEquals(MAX_CRASHES, registry.crashCount());
        assertInstanceOf(
                SuspicionLevel.Unsuspected.class, registry.suspicion(RequestCauses.of(digest("c1")), 1_000_000));
        assertTrue(registry.hasSuspects());
    }
}
