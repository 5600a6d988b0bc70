package org.micabarrow.limits;

import java.util.OptionalLong;

/** The quota share of one entry in an endpoint's rate limit: one request per period. */
public sealed interface QuotaShare {

    /** Milliseconds per second. */
    double MILLIS_PER_SECOND = 1_000;

    /**
     * Number of entries that get a share in addition to one for each request per second. Each of them may send its
     * first request at the same instant.
     */
    int EXTRA_ENTRIES = 3;

    /**
     * Fraction of a limit that is used by entries which do not know their ranks. Their first requests are sent at
     * random times, so more of them than usual may coincide.
     */
    double UNRANKED_FRACTION = 0.5;

    /**
     * The lowest limit that is divided, in requests per second. Without any request an entry would never learn that the
     * limit was lifted.
     */
    double MIN_PER_SECOND = 0.1;

    /**
     * Returns the interval between the entry's requests.
     *
     * @param perSecond the limit
     * @return milliseconds; empty if the entry sends none
     */
    OptionalLong periodMillis(double perSecond);

    /**
     * Returns the delay of the entry's first request after it got its share.
     *
     * @param perSecond the limit
     * @param random a number from 0 to 1
     * @return milliseconds; meaningless if the entry sends no requests
     */
    long firstDelayMillis(double perSecond, double random);

    /**
     * The share of an entry that knows its rank. The limit is divided among no more entries than may send one request
     * each at the same instant.
     *
     * @param rank its rank among the entries
     */
    record Ranked(EntryRank rank) implements QuotaShare {

        @Override
        public OptionalLong periodMillis(double perSecond) {
            double sharingEntries = Math.min(rank.entries(), EXTRA_ENTRIES + Math.floor(perSecond));
            return rank.rank() < sharingEntries
                    ? OptionalLong.of(millisFor(sharingEntries, withMinimum(perSecond)))
                    : OptionalLong.empty();
        }

        @Override
        public long firstDelayMillis(double perSecond, double random) {
            return millisFor(rank.rank() + 1, withMinimum(perSecond));
        }
    }

    /**
     * The share of an entry that knows, or assumes, only the number of entries.
     *
     * @param entries the number of entries
     */
    record Unranked(int entries) implements QuotaShare {

        @Override
        public OptionalLong periodMillis(double perSecond) {
            return OptionalLong.of(millisFor(entries, UNRANKED_FRACTION * withMinimum(perSecond)));
        }

        @Override
        public long firstDelayMillis(double perSecond, double random) {
            return millisFor(random * entries, UNRANKED_FRACTION * withMinimum(perSecond));
        }
    }

    private static double withMinimum(double perSecond) {
        return Math.max(perSecond, MIN_PER_SECOND);
    }

    private static long millisFor(double requests, double perSecond) {
        return Math.round(requests * MILLIS_PER_SECOND / perSecond);
    }
}
