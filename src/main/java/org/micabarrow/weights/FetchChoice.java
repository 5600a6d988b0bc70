package org.micabarrow.weights;

/**
 * Which of two weight versions is fetched first: the newest, or one that was named before it and may still answer for a while.
 * Worked out from what is told alone. Of both ways the service that the endpoint loses is estimated, up to when it serves the
 * newest version, and the one that loses less is taken.
 */
sealed interface FetchChoice {

    /**
     * How long a change of versions takes an endpoint out, in milliseconds, from the first request that is kept away to the first
     * that is begun again: the average of a day with two versions (docs/ADMISSION.md).
     */
    long CHANGE_MILLIS = 2_600;

    /** The part of that which is left when nothing runs at the endpoint any more: it warms up, and entries learn of it. */
    long IDLE_CHANGE_MILLIS = 500;

    /**
     * How much less another way must lose before it is changed to, in milliseconds: what was asked for is on its way, and comes for
     * nothing.
     */
    long MARGIN_MILLIS = 300;

    /** The most that is counted, in milliseconds: what is further away is as good as never. */
    long HORIZON_MILLIS = 60_000;

    /** The version to fetch. */
    long version();

    /** What is lost by it, in milliseconds of the endpoint's service. */
    long lostMillis();

    /** What would be lost by the other, in milliseconds of the endpoint's service. */
    long otherLostMillis();

    /**
     * The newest version first.
     *
     * @param version the newest version
     * @param lostMillis what is lost by it
     * @param otherLostMillis what would be lost if the older were fetched first
     */
    record Newest(long version, long lostMillis, long otherLostMillis) implements FetchChoice {}

    /**
     * The older version first, then the newest.
     *
     * @param version the older version
     * @param lostMillis what is lost by it
     * @param otherLostMillis what would be lost if the newest were fetched straight away
     */
    record OlderFirst(long version, long lostMillis, long otherLostMillis) implements FetchChoice {}

    /**
     * A version that is not here whole.
     *
     * @param version its number
     * @param chunks how many chunks it has
     * @param missing how many of them are missing
     * @param awaitedMillis for how long none is expected to come
     * @param chunkMillis how long one takes from then on; infinite if none comes
     */
    record Candidate(long version, int chunks, int missing, long awaitedMillis, double chunkMillis) {

        private long readyMillis(long fromMillis) {
            double takes = missing == 0 ? 0 : missing * chunkMillis;
            return Math.round(fromMillis + Math.min(HORIZON_MILLIS, takes));
        }

        private boolean halfHere() {
            return missing * 2 <= chunks;
        }
    }

    /**
     * What the choice goes by. Times are on one clock that never steps.
     *
     * @param nowMillis the time now
     * @param heldUntilMillis until when the endpoint serves what it holds; now or before if it serves nothing
     * @param older the version that was named before the newest
     * @param olderUntilMillis until when it may be served
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

        /** The service lost until the newest version serves, if it is fetched straight away. */
        private long lostByNewest() {
            return lost(heldUntilMillis, newest.readyMillis(nowMillis + newest.awaitedMillis()));
        }

        /** The same if the older is fetched first, whether or not the endpoint then takes it up on the way. */
        private long lostByOlder() {
            long older = olderReady();
            long newestReady = newest.readyMillis(Math.max(older, nowMillis + newest.awaitedMillis()));
            long goingPast = lost(heldUntilMillis, newestReady);
            long taking = lost(heldUntilMillis, older) + lost(olderUntilMillis, newestReady);
            return Math.min(goingPast, taking);
        }

        private long olderReady() {
            return older.readyMillis(nowMillis + older.awaitedMillis());
        }

        /** Whether the older version may still answer when the endpoint could have it at the soonest. */
        private boolean olderServes() {
            return olderReady() + IDLE_CHANGE_MILLIS < olderUntilMillis;
        }

        /**
         * From the end of one version's service to the beginning of the next one's. A version that comes later than that end finds
         * nothing running any more.
         */
        private long lost(long untilMillis, long readyMillis) {
            long idle = readyMillis - Math.max(untilMillis, nowMillis);
            return Math.clamp(idle + IDLE_CHANGE_MILLIS, CHANGE_MILLIS, HORIZON_MILLIS);
        }

        private boolean finishesOlder() {
            return current == older.version() && older.halfHere();
        }
    }

    /**
     * Chooses.
     *
     * @param told what the choice goes by
     * @return the version to fetch first
     */
    static FetchChoice of(Situation told) {
        long newest = told.lostByNewest();
        long older = told.lostByOlder();
        boolean olderFirst = told.olderServes() && (told.finishesOlder() || older <= newest + margin(told));
        return olderFirst
                ? new OlderFirst(told.older().version(), older, newest)
                : new Newest(told.newest().version(), newest, older);
    }

    /** While little of the newest comes the link is idle, so that a version which loses no more is fetched then. */
    private static long margin(Situation told) {
        if (told.current() == told.older().version()) {
            return MARGIN_MILLIS;
        }
        return told.newest().awaitedMillis() > 0 ? 0 : -MARGIN_MILLIS;
    }
}
