package org.micabarrow.admission;

/** A count that decays exponentially. Not thread-safe: confined to one thread. */
final class DecayedCount {

    private final double decayMillis;
    private double count;
    private long updatedAtMillis;

    /**
     * Creates a count of zero.
     *
     * @param decayMillis the time in which the count falls to 1/e, in milliseconds
     */
    DecayedCount(double decayMillis) {
        this.decayMillis = decayMillis;
    }

    void add(double amount, long nowMillis) {
        count = value(nowMillis) + amount;
        updatedAtMillis = nowMillis;
    }

    /** Returns the decayed count; at a steady rate, what is added in the decay time. */
    double value(long nowMillis) {
        return count * Math.exp((updatedAtMillis - nowMillis) / decayMillis);
    }

    double perSecond(long nowMillis) {
        return value(nowMillis) * 1_000 / decayMillis;
    }
}
