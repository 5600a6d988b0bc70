package org.micabarrow.crashes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.micabarrow.crashes.PoisonRequestDetectorTest.digest;

import java.util.Set;
import org.junit.jupiter.api.Test;

class CrashRegistryTest {

    private static final long MEMORY_MILLIS = 600_000;
    private static final int MOST = 10;
    private static final RequestDigest HARMFUL = digest("a");
    private static final RequestDigest HARMLESS = digest("b");

    private final CrashRegistry book = new CrashRegistry(MEMORY_MILLIS, MOST, () -> 30);

    private void crash(String endpoint, long atMillis, RequestDigest... aboard) {
        book.crashed(new EndpointCrash(endpoint, Set.of(aboard), Set.of()), atMillis);
    }

    private void threeCrashes() {
        crash("e1", 0, HARMFUL, HARMLESS);
        crash("e2", 5_000, HARMFUL);
        crash("e3", 9_000, HARMFUL);
    }

    @Test
    void shouldRefuseForAsLongAsCrashIsRememberedWhenThreeEndpointsEnded() {
        threeCrashes();
        assertEquals(new SuspicionLevel.Refused(3, MEMORY_MILLIS - 1_000), book.standing(HARMFUL, 10_000));
        assertEquals(Set.of(HARMFUL), book.refused());
    }

    @Test
    void shouldClearOthersWhenCulpritExplainsTheirCrash() {
        crash("e1", 0, HARMFUL, HARMLESS);
        assertEquals(new SuspicionLevel.Suspected(1), book.standing(HARMLESS, 100));
        threeCrashes();
        assertInstanceOf(SuspicionLevel.Unsuspected.class, book.standing(HARMLESS, 10_000));
    }

    @Test
    void shouldCountCrashOnceWhenSeveralProcessesTellOfIt() {
        crash("e1", 0, HARMFUL);
        crash("e1", 50, HARMFUL, HARMLESS);
        assertEquals(new SuspicionLevel.Suspected(1), book.standing(HARMFUL, 100));
        assertEquals(new SuspicionLevel.Suspected(1), book.standing(HARMLESS, 100));
    }

    @Test
    void shouldStartAnewWhenRequestIsAnswered() {
        crash("e1", 0, HARMFUL);
        crash("e2", 5_000, HARMFUL);
        assertEquals(2, book.cleared(HARMFUL, true));
        crash("e3", 9_000, HARMFUL);
        assertEquals(new SuspicionLevel.Suspected(1), book.standing(HARMFUL, 10_000));
    }

    @Test
    void shouldStayClearedWhenCrashIsToldAgain() {
        crash("e1", 0, HARMFUL);
        book.cleared(HARMFUL, true);
        crash("e1", 50, HARMFUL);
        assertInstanceOf(SuspicionLevel.Unsuspected.class, book.standing(HARMFUL, 100));
    }

    @Test
    void shouldCountOnlyCrashesWithoutPartOfAnswerWhenPartCame() {
        crash("e1", 0, HARMFUL);
        crash("e2", 5_000, HARMFUL);
        assertEquals(2, book.cleared(HARMFUL, false));
        assertInstanceOf(SuspicionLevel.Unsuspected.class, book.standing(HARMFUL, 6_000));
        crash("e3", 9_000, HARMFUL);
        assertEquals(new SuspicionLevel.Suspected(1), book.standing(HARMFUL, 10_000));
    }

    @Test
    void shouldServeAgainWhenLastCrashIsForgotten() {
        threeCrashes();
        book.forgetOld(9_000 + MEMORY_MILLIS - 1);
        assertInstanceOf(SuspicionLevel.Refused.class, book.standing(HARMFUL, 9_000 + MEMORY_MILLIS - 1));
        assertInstanceOf(SuspicionLevel.Unsuspected.class, book.standing(HARMFUL, 9_000 + MEMORY_MILLIS));
        book.forgetOld(9_000 + MEMORY_MILLIS);
        assertEquals(0, book.known());
        assertFalse(book.suspectsAny());
    }

    @Test
    void shouldForgetOldestWhenThereAreTooMany() {
        for (int i = 0; i < 5 * MOST; i++) {
            crash("e" + i, i * 10_000L, digest("c" + i));
        }
        assertEquals(MOST, book.known());
        assertInstanceOf(SuspicionLevel.Unsuspected.class, book.standing(digest("c1"), 1_000_000));
        assertTrue(book.suspectsAny());
    }
}
