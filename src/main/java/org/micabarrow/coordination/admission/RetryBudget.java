package org.micabarrow.coordination.admission;

/**
 * Allows retries only as a share of the traffic, so that they cannot multiply it.
 *
 * <p>Safe for any number of threads.
 *
 * <pre>{@code
 * budget.sent();
 * boolean again = budget.tryRetry();
 * }</pre>
 */
public final class RetryBudget {

    private final double share;
    private final double most;
    private double credit;

    /**
     * Makes a budget.
     *
     * @param share retries allowed for each first attempt
     * @param most how many retries may be saved up
     */
    public RetryBudget(double share, double most) {
        this.share = share;
        this.most = most;
        this.credit = most;
    }

    /** Counts a first attempt. */
    public synchronized void sent() {
        credit = Math.min(most, credit + share);
    }

    /**
     * Takes a retry, if there is one left.
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
