package org.micabarrow.coordination.admission;

/**
 * Limits retries to a fraction of the traffic, so that they cannot multiply it.
 *
 * <p>Thread-safe.
 *
 * <pre>{@code
 * budget.recordFirstAttempt();
 * boolean again = budget.tryRetry();
 * }</pre>
 */
public final class RetryBudget {

    private final double ratio;
    private final double maxCredit;
    private double credit;

    /**
     * Creates a budget with full credit.
     *
     * @param ratio the number of retries allowed per first attempt
     * @param maxCredit the maximum number of unused retries that accumulate
     */
    public RetryBudget(double ratio, double maxCredit) {
        this.ratio = ratio;
        this.maxCredit = maxCredit;
        this.credit = maxCredit;
    }

    /** Counts a first attempt. */
    public synchronized void recordFirstAttempt() {
        credit = Math.min(maxCredit, credit + ratio);
    }

    /**
     * Uses one retry if the budget allows it.
     *
     * @return whether a retry may be sent
     */
    public synchronized boolean tryRetry() {
        if (credit < 1) {
            return false;
        }
        credit -= 1;
        return true;
    }
}
