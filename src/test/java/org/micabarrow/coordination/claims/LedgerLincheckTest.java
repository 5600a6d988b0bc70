package org.micabarrow.coordination.claims;

import java.util.Optional;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/** Checks that the ledger is linearizable; several request threads modify it concurrently. */
class LedgerLincheckTest {

    /** Starts, settles and ends keys from any thread. */
    @Param(name = "key", gen = IntGen.class, conf = "1:2")
    public static class LedgerModel {

        private final Ledger ledger = new Ledger("1", 10, 100, 1000);

        @Operation
        public String start(@Param(name = "key") int key) {
            Claim claim = new Claim("k" + key, "b", "i", "1", 1000, "a", Optional.empty());
            return ledger.start(claim, 0).getClass().getSimpleName();
        }

        @Operation
        public String settle(@Param(name = "key") int key) {
            return ledger.settle("k" + key, 1000, 0).state().name();
        }

        @Operation
        public void ended(@Param(name = "key") int key) {
            ledger.recordEnd("k" + key, Optional.empty());
        }
    }

    private static StressOptions stress() {
        return new StressOptions()
                .iterations(10)
                .invocationsPerIteration(300)
                .threads(2)
                .actorsPerThread(3);
    }

    @Test
    void shouldBeLinearizable() {
        stress().check(LedgerModel.class);
    }
}
