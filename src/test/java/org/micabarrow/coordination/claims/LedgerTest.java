package org.micabarrow.coordination.claims;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class LedgerTest {

    private static final long LATEST = 10_000;
    private static final Ledger.Answer ANSWER = new Ledger.Answer(200, "text/plain", new byte[10]);

    private final Ledger ledger = new Ledger("7", 3, 25, 1000);

    private static Claim claim(String key, String epoch) {
        return new Claim(key, "body", "norte-a-1", epoch, LATEST, "attempt-" + key, Optional.empty());
    }

    @Test
    void shouldStartKeyOnlyOnce() {
        assertInstanceOf(Ledger.Start.Run.class, ledger.start(claim("k", "7"), 0));
        assertInstanceOf(Ledger.Start.Running.class, ledger.start(claim("k", "7"), 1));
        ledger.ended("k", Optional.of(ANSWER));
        Ledger.Start.Done done = assertInstanceOf(Ledger.Start.Done.class, ledger.start(claim("k", "7"), 2));
        assertEquals(Optional.of(ANSWER), done.answer());
    }

    @Test
    void shouldRefuseClaimOfAnotherProcess() {
        assertInstanceOf(Ledger.Start.Refused.class, ledger.start(claim("k", "6"), 0));
    }

    @Test
    void shouldRefuseAfterLatestStartEvenWhenKeyIsForgotten() {
        ledger.start(claim("k", "7"), 0);
        ledger.ended("k", Optional.empty());
        assertInstanceOf(Ledger.Start.Refused.class, ledger.start(claim("k", "7"), LATEST + 5000));
        assertEquals(0, ledger.size());
    }

    @Test
    void shouldNotForgetRequestThatStillRuns() {
        ledger.start(claim("k", "7"), 0);
        assertEquals(
                Ledger.Fate.RUNNING, ledger.settle("k", LATEST, LATEST + 5000).fate());
    }

    @Test
    void shouldRefuseForGoodOnceSettled() {
        assertEquals(Ledger.Fate.REFUSED, ledger.settle("k", LATEST, 0).fate());
        assertInstanceOf(Ledger.Start.Refused.class, ledger.start(claim("k", "7"), 1));
    }

    @Test
    void shouldRefuseNewKeysWhenFullAndKeepOldOnes() {
        for (String key : new String[] {"a", "b", "c"}) {
            ledger.start(claim(key, "7"), 0);
        }
        assertInstanceOf(Ledger.Start.Refused.class, ledger.start(claim("d", "7"), 0));
        assertInstanceOf(Ledger.Start.Running.class, ledger.start(claim("a", "7"), 0));
    }

    @Test
    void shouldLetOldAnswersGoButRememberThatTheyRan() {
        for (String key : new String[] {"a", "b", "c"}) {
            ledger.start(claim(key, "7"), 0);
            ledger.ended(key, Optional.of(ANSWER));
        }
        assertEquals(new Ledger.Settled(Ledger.Fate.DONE, Optional.empty()), ledger.settle("a", LATEST, 1));
        assertEquals(new Ledger.Settled(Ledger.Fate.DONE, Optional.of(ANSWER)), ledger.settle("c", LATEST, 1));
    }
}
