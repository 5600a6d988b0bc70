package org.micabarrow.coordination;

import java.util.Optional;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/** The structures that several traffic threads change at once, checked for linearizability. */
class LincheckTest {

    /** Keys are started once, settled and ended by any threads. */
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
            return ledger.settle("k" + key, 1000, 0).fate().name();
        }

        @Operation
        public void ended(@Param(name = "key") int key) {
            ledger.ended("k" + key, Optional.empty());
        }
    }

    /** Places are taken and given back by any threads. */
    public static class LimitModel {

        private final ConcurrencyLimit limit = new ConcurrencyLimit(1, 3, 2);

        @Operation
        public boolean open() {
            return limit.tryOpen(true);
        }

        @Operation
        public int openNow() {
            return limit.open();
        }
    }

    /** Retries are taken by any threads. */
    public static class BudgetModel {

        private final RetryBudget budget = new RetryBudget(0.5, 2);

        @Operation
        public void sent() {
            budget.sent();
        }

        @Operation
        public boolean tryRetry() {
            return budget.tryRetry();
        }
    }

    private static StressOptions stress() {
        return new StressOptions()
                .iterations(10)
                .invocationsPerIteration(300)
                .threads(2)
                .actorsPerThread(3);
    }

    private static ModelCheckingOptions model() {
        return new ModelCheckingOptions()
                .iterations(10)
                .invocationsPerIteration(300)
                .threads(2)
                .actorsPerThread(3);
    }

    @Test
    void shouldKeepLedgerLinearizable() {
        stress().check(LedgerModel.class);
    }

    @Test
    void shouldKeepLimitLinearizable() {
        model().check(LimitModel.class);
    }

    @Test
    void shouldKeepBudgetLinearizable() {
        model().check(BudgetModel.class);
    }
}
