package org.micabarrow.weights;

/**
 * Decides which of two weight versions is fetched first: the newest, or one that was named before it and may still be
 * served for a while. Depends on the given situation alone. For both alternatives, the service time that the endpoint
 * loses until it serves the newest version is estimated, and the one with the smaller loss is chosen.
 */
sealed interface FetchDecision {

    /**
     * How long a switch of versions takes an endpoint out of service, in milliseconds, from the first request that is
     * kept away to the first that is started again: the average of a day with two versions (docs/ADMISSION.md).
     */
    long SWITCH_MILLIS = 2_600;

    /**
     * The part of a switch that remains if no request runs at the endpoint any more, in milliseconds: the warm-up, and
     * the time until entries know that it serves again.
     */
    long IDLE_SWITCH_MILLIS = 500;

    /**
     * By how much the loss of the alternative must be smaller to switch to it, in milliseconds: chunks that were
     * already requested are still in transit and would be wasted.
     */
    long MARGIN_MILLIS = 300;

    /** The maximum of an estimate, in milliseconds. Anything later is equivalent to never. */
    long HORIZON_MILLIS = 60_000;

    /** The version to fetch. */
    long version();

    /** The estimated loss of this decision, in milliseconds of the endpoint's service. */
    long lostMillis();

    /** The estimated loss of the alternative, in milliseconds of the endpoint's service. */
    long otherLostMillis();

    /**
     * Fetch the newest version first.
     *
     * @param version the newest version
     * @param lostMillis the estimated loss
     * @param otherLostMillis the estimated loss if the older version were fetched first
     */
    record Newest(long version, long lostMillis, long otherLostMillis) implements FetchDecision {}

    /**
     * Fetch the older version first, then the newest.
     *
     * @param version the older version
     * @param lostMillis the estimated loss
     * @param otherLostMillis the estimated loss if the newest version were fetched immediately
     */
    record OlderFirst(long version, long lostMillis, long otherLostMillis) implements FetchDecision {}

    /**
     * A version that is not complete.
     *
     * @param version its number
     * @param chunks the number of its chunks
     * @param missing the number of missing chunks
     * @param delayMillis for how long no chunk is expected to arrive
     * @param chunkMillis the time for each chunk from then on; infinite if none arrives
     */
    record Candidate(long version, int chunks, int missing, long delayMillis, double chunkMillis) {

        private long readyMillis(long fromMillis) {
            double transferMillis = missing == 0 ? 0 : missing * chunkMillis;
            return Math.round(fromMillis + Math.min(HORIZON_MILLIS, transferMillis));
        }
    }

    /**
     * The input of the decision. All times are on the same monotonic clock.
     *
     * @param nowMillis the current time
     * @param heldUntilMillis until when the endpoint may serve the version that it holds; the current time or earlier
     *     if it serves none
     * @param older the version that was named before the newest
     * @param olderUntilMillis until when the older version may be served
     * @param newest the newest version
     * @param current the version that is being fetched, 0 if none is
     */
    record Situation(
            long nowMillis,
            long heldUntilMillis,
            Candidate older,
            long olderUntilMillis,
            Candidate newest,
            long current) {

        /** The service lost until the endpoint serves the newest version, if that is fetched immediately. */
        private long lostByNewest() {
            return lostBetween(heldUntilMillis, newest.readyMillis(nowMillis + newest.delayMillis()));
        }

        /** The service lost if the older version is fetched first, whether the endpoint then loads it or skips it. */
        private long lostByOlder() {
            long olderReady = olderReadyMillis();
            long newestReadyMillis = newest.readyMillis(Math.max(olderReady, nowMillis + newest.delayMillis()));
            long skipping = lostBetween(heldUntilMillis, newestReadyMillis);
            long loading = lostBetween(heldUntilMillis, olderReady) + lostBetween(olderUntilMillis, newestReadyMillis);
            return Math.min(skipping, loading);
        }

        private long olderReadyMillis() {
            return older.readyMillis(nowMillis + older.delayMillis());
        }

        /**
         * Whether the older version may still be served at the earliest time at which the endpoint could have loaded
         * it.
         */
        private boolean isOlderUsable() {
            return olderReadyMillis() + IDLE_SWITCH_MILLIS < olderUntilMillis;
        }

        /**
         * The service lost between two versions. If the next version arrives after the previous one had to stop, no
         * request runs any more and the switch is shorter.
         */
        private long lostBetween(long untilMillis, long readyMillis) {
            long idleMillis = readyMillis - Math.max(untilMillis, nowMillis);
            return Math.clamp(idleMillis + IDLE_SWITCH_MILLIS, SWITCH_MILLIS, HORIZON_MILLIS);
        }
    }

    /**
     * Decides which version to fetch first.
     *
     * @param situation the input
     * @return the decision
     */
    static FetchDecision of(Situation situation) {
        long lostByNewest = situation.lostByNewest();
        long lostByOlder = situation.lostByOlder();
        boolean olderFirst = situation.isOlderUsable() && lostByOlder <= lostByNewest + margin(situation);
        return olderFirst
                ? new OlderFirst(situation.older().version(), lostByOlder, lostByNewest)
                : new Newest(situation.newest().version(), lostByNewest, lostByOlder);
    }

    /**
     * The margin in favour of the older version. While few chunks of the newest version arrive the link is idle, so the
     * older version is fetched if it loses no more.
     */
    private static long margin(Situation situation) {
        if (situation.current() == situation.older().version()) {
            return MARGIN_MILLIS;
        }
        return situation.newest().delayMillis() > 0 ? 0 : -MARGIN_MILLIS;
    }
}
