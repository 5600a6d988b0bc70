package org.micabarrow.coordination.claims;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class LedgerTest {

    private static final long LATEST_START_MILLIS = 10_000;
    private static final Ledger.StoredResponse RESPONSE = new Ledger.StoredResponse(200, "text/plain", new byte[10]);

    private final Ledger ledger = new Ledger("7", 3, 25, 1000);

    private static Claim claim(String key, String epoch) {
        return new Claim(key, "body", "norte-a-1", epoch, LATEST_START_MILLIS, "attempt-" + key, Optional.empty());
    }

    @Test
    void shouldStartKeyOnlyOnce() {
        assertInstanceOf(Ledger.Start.Run.class, ledger.start(claim("k", "7"), 0));
        assertInstanceOf(Ledger.Start.Running.class, ledger.start(claim("k", "7"), 1));
        ledger.recordEnd("k", Optional.of(RESPONSE));
        Ledger.Start.Done done = assertInstanceOf(Ledger.Start.Done.class, ledger.start(claim("k", "7"), 2));
        assertEquals(Optional.of(RESPONSE), done.response());
    }

    @Test
    void shouldRefuseClaimWhenItNamesAnotherProcess() {
        assertInstanceOf(Ledger.Start.Refused.class, ledger.start(claim("k", "6"), 0));
    }

    @Test
    void shouldRefuseAfterLatestStartWhenKeyWasRemoved() {
        ledger.start(claim("k", "7"), 0);
        ledger.recordEnd("k", Optional.empty());
        assertInstanceOf(Ledger.Start.Refused.class, ledger.start(claim("k", "7"), LATEST_START_MILLIS + 5000));
        assertEquals(0, ledger.size());
    }

    @Test
    void shouldKeepKeyWhenRequestIsStillRunning() {
        ledger.start(claim("k", "7"), 0);
        assertEquals(
                Ledger.KeyState.RUNNING,
                ledger.settle("k", LATEST_START_MILLIS, LATEST_START_MILLIS + 5000)
                        .state());
    }

    @Test
    void shouldRefusePermanentlyWhenSettledBeforeStart() {
        assertEquals(
                Ledger.KeyState.REFUSED,
                ledger.settle("k", LATEST_START_MILLIS, 0).state());
        assertInstanceOf(Ledger.Start.Refused.class, ledger.start(claim("k", "7"), 1));
    }

    @Test
    void shouldRefuseNewKeysWhenFull() {
        for (String key : new String[] {"a", "b", "c"}) {
            ledger.start(claim(key, "7"), 0);
        }
        assertInstanceOf(Ledger.Start.Refused.class, ledger.start(claim("d", "7"), 0));
        assertInstanceOf(Ledger.Start.Running.class, ledger.start(claim("a", "7"), 0));
    }

    @Test
    void shouldKeepKeyAsDoneWhenResponseIsEvicted() {
        for (String key : new String[] {"a", "b", "c"}) {
            ledger.start(claim(key, "7"), 0);
            ledger.recordEnd(key, Optional.of(RESPONSE));
        }
        assertEquals(
                new Ledger.Settlement(Ledger.KeyState.DONE, Optional.empty()),
                ledger.settle("a", LATEST_START_MILLIS, 1));
        assertEquals(
                new Ledger.Settlement(Ledger.KeyState.DONE, Optional.of(RESPONSE)),
                ledger.settle("c", LATEST_START_MILLIS, 1));
    }
}
