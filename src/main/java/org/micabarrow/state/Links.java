package org.micabarrow.state;

/**
 * The rates of the network links.
 *
 * @param originBytesPerSecond the rate of the origin's link
 * @param instanceBytesPerSecond the rate of each instance's link, in each direction
 */
public record Links(long originBytesPerSecond, long instanceBytesPerSecond) {

    /** Rejects rates that are not positive. */
    public Links {
        if (originBytesPerSecond <= 0 || instanceBytesPerSecond <= 0) {
            throw new IllegalArgumentException("link rates must be positive");
        }
    }

    /**
     * Returns the number of chains that the origin can feed at the full rate of the instances' links.
     *
     * @return the number of chains, at least one
     */
    public int fullRateChains() {
        return (int) Math.max(1, originBytesPerSecond / instanceBytesPerSecond);
    }

    /**
     * Returns a lower bound for the time until several instances hold one copy each, when a copy crosses each link at
     * most once. The bound is the time of one copy over the slower of the origin's link and an instance's link; the
     * time for which one chunk is relayed along a chain is not counted.
     *
     * @param bytes the size of a copy in bytes
     * @return the lower bound in milliseconds
     */
    public long lowerBoundMillis(long bytes) {
        return 1000 * bytes / Math.min(instanceBytesPerSecond, originBytesPerSecond);
    }
}
