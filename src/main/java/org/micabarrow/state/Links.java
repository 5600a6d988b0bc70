package org.micabarrow.state;

/**
 * What the links carry.
 *
 * @param originBytesPerSecond the origin's link
 * @param instanceBytesPerSecond each instance's link, in either direction
 */
public record Links(long originBytesPerSecond, long instanceBytesPerSecond) {

    /** Checks the rates. */
    public Links {
        if (originBytesPerSecond <= 0 || instanceBytesPerSecond <= 0) {
            throw new IllegalArgumentException("links must carry something");
        }
    }

    /**
     * How many chains the origin can feed at the full rate of the instances' links.
     *
     * @return at least one
     */
    public int feeds() {
        return (int) Math.max(1, originBytesPerSecond / instanceBytesPerSecond);
    }

    /**
     * The shortest possible time until some instances hold one copy each, when no copy goes further than once over
     * any link: the slowest of one copy into an instance and the origin's copies, and the passage of one chunk along
     * a chain is left out.
     *
     * @param bytes the size of a copy
     * @return milliseconds
     */
    public long lowerBoundMillis(long bytes) {
        return 1000 * bytes / Math.min(instanceBytesPerSecond, originBytesPerSecond);
    }
}
