package org.micabarrow.coordination.admission;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** Checks that the limit and the budget are linearizable; several request threads modify them concurrently. */
class AdmissionLincheckTest {

    /** Acquires slots from any thread. */
    public static class LimitModel {

        private final ConcurrencyLimit limit = new ConcurrencyLimit(1, 3, 2);

        @Operation
        public boolean tryAcquire() {
            return limit.tryAcquire(true);
        }

        @Operation
        public int inFlight() {
            return limit.inFlight();
        }
    }

    /** Records first attempts and uses retries from any thread. */
    public static class BudgetModel {

        private final RetryBudget budget = new RetryBudget(0.5, 2);

        @Operation
        public void sent() {
            budget.recordFirstAttempt();
        }

        @Operation
        public boolean tryRetry() {
            return budget.tryRetry();
        }
    }

    private static ModelCheckingOptions options() {
        return new ModelCheckingOptions()
                .iterations(10)
                .invocationsPerIteration(300)
                .threads(2)
                .actorsPerThread(3);
    }

    @Test
    void shouldKeepLimitLinearizable() {
        options().check(LimitModel.class);
    }

    @Test
    void shouldKeepBudgetLinearizable() {
        options().check(BudgetModel.class);
    }
}
