package org.micabarrow.routing;

/**
 * The pace that an endpoint reports, its age, and how far it has proved right. Not thread-safe: confined to one thread.
 */
final class ReportedPace {

    /**
     * Decay time of a reported pace, in milliseconds. Engines are slow for half a second to some seconds, and reports
     * come several times in that time; without further reports a slow endpoint counts as usual after some seconds.
     */
    private static final double DECAY_MILLIS = 1_500;

    /** Weight of the newest first event in the trust: a report is disbelieved after a few responses that refute it. */
    private static final double TRUST_SMOOTHING = 0.25;

    /** Part of the reported slowness that must be missing for a first event to refute the report. */
    private static final double REFUTED_FRACTION = 0.5;

    private double logPace;
    private boolean known;
    private long reportedAtMillis;
    private double trust = 1;

    /** Records a pace; values below 1 count as 1, since a prediction that is too short costs more than one too long. */
    void reported(double pace, double maxLogFactor, long nowMillis) {
        logPace = Math.clamp(Math.log(pace), 0, maxLogFactor);
        known = true;
        reportedAtMillis = nowMillis;
    }

    /** Records that the endpoint reports no pace. */
    void absent() {
        known = false;
    }

    /**
     * Compares a first event with what the engine's slowness alone predicts.
     *
     * @param logError the logarithm of the actual over that time
     * @param logFactor the logarithm of the slowness
     */
    void observed(double logError, double logFactor) {
        if (logFactor > 0) {
            double right = logError > -REFUTED_FRACTION * logFactor ? 1 : Math.max(0, 1 + logError / logFactor);
            trust += TRUST_SMOOTHING * (right - trust);
        }
    }

    /** Returns the logarithm of the pace. */
    double logFactor() {
        return known ? logPace : 0;
    }

    /** Returns how far the pace is to be believed: between 0 for not at all, and 1. */
    double confidence(long nowMillis) {
        return known ? trust * Math.exp(-Math.max(0, nowMillis - reportedAtMillis) / DECAY_MILLIS) : 0;
    }
}
