package org.micabarrow.coordination.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Checks that retries stay a fraction of the traffic. */
class RetryBudgetTest {

    @Test
    void shouldLimitRetriesToFractionOfTraffic() {
        RetryBudget budget = new RetryBudget(0.1, 5);
        int retries = 0;
        for (int i = 0; i < 1000; i++) {
            budget.recordFirstAttempt();
            retries += budget.tryRetry() ? 1 : 0;
        }
        assertTrue(retries <= 106, "retries: " + retries);
        assertTrue(retries >= 95, "retries: " + retries);
    }
}
