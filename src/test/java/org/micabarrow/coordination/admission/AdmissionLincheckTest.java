package org.micabarrow.coordination.admission;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** The limit and the budget, which several traffic threads change at once, checked for linearizability. */
class AdmissionLincheckTest {

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

    private static ModelCheckingOptions model() {
        return new ModelCheckingOptions()
                .iterations(10)
                .invocationsPerIteration(300)
                .threads(2)
                .actorsPerThread(3);
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
