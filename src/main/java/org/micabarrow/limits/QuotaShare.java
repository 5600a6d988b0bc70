package org.micabarrow.limits;

import java.util.OptionalLong;

/** The part of an endpoint's limit that is one entry's: one request a period. */
public sealed interface QuotaShare {

    /** Milliseconds in a second. */
    double MILLIS_A_SECOND = 1_000;

    /** The entries that share a limit, beyond one for each request a second: each may begin with one request in the same instant. */
    int ENTRIES_AT_ONCE = 3;

    /**
     * The part of a limit that entries use which do not know their ranks. They begin at random moments, so that more than usual may come
     * together.
     */
    double UNRANKED_PART = 0.5;

    /** The least limit that is shared, in requests a second: without any request its end would never show. */
    double LEAST_PER_SECOND = 0.1;

    /**
     * How far apart the entry's requests are.
     *
     * @param perSecond the limit
     * @return milliseconds; empty if the entry sends none
     */
    OptionalLong periodMillis(double perSecond);

    /**
     * When the entry's first request may follow what made its share.
     *
     * @param perSecond the limit
     * @param random a number from 0 to 1
     * @return milliseconds; of no use if the entry sends none
     */
    long firstAfterMillis(double perSecond, double random);

    /**
     * The share of an entry that knows its rank. Only as many take part as may send one request each in the same instant.
     *
     * @param rank its rank among the entries
     */
    record Ranked(EntryRank rank) implements QuotaShare {

        @Override
        public OptionalLong periodMillis(double perSecond) {
            double sharing = Math.min(rank.entries(), ENTRIES_AT_ONCE + Math.floor(perSecond));
            return rank.rank() < sharing
                    ? OptionalLong.of(millisFor(sharing, atLeast(perSecond)))
                    : OptionalLong.empty();
        }

        @Override
        public long firstAfterMillis(double perSecond, double random) {
            return millisFor(rank.rank() + 1, atLeast(perSecond));
        }
    }

    /**
     * The share of an entry that knows, or assumes, only how many entries there are.
     *
     * @param entries how many
     */
    record Unranked(int entries) implements QuotaShare {

        @Override
        public OptionalLong periodMillis(double perSecond) {
            return OptionalLong.of(millisFor(entries, UNRANKED_PART * atLeast(perSecond)));
        }

        @Override
        public long firstAfterMillis(double perSecond, double random) {
            return millisFor(random * entries, UNRANKED_PART * atLeast(perSecond));
        }
    }

    private static double atLeast(double perSecond) {
        return Math.max(perSecond, LEAST_PER_SECOND);
    }

    private static long millisFor(double requests, double perSecond) {
        return Math.round(requests * MILLIS_A_SECOND / perSecond);
    }
}
