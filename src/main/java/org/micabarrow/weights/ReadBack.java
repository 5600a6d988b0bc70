package org.micabarrow.weights;

/**
 * The proof that all staged chunks of a version were intact: a pass that read each of them back. A chunk may become
 * corrupted as soon as it has been read, so the proof expires, counted from the beginning of the pass.
 *
 * @param beganAtMillis when the first chunk was about to be read, on the monotonic clock
 * @param maxAgeMillis for how long the proof may be relied on
 */
record ReadBack(long beganAtMillis, long maxAgeMillis) {

    /**
     * The least time for which a pass is relied on, in milliseconds: several passes at a typical endpoint, which takes
     * less than a millisecond for each of some hundred chunks.
     */
    private static final long MIN_VALID_MILLIS = 500;

    /**
     * The longest time for which a pass is relied on, in milliseconds. The platform tolerates layers from chunks that
     * became corrupted within the last three seconds, and an order may take one.
     */
    private static final long MAX_VALID_MILLIS = 2_000;

    /** A slow endpoint is allowed this many passes, so that one that is not interrupted is always valid. */
    private static final long PASSES = 2;

    /**
     * Returns the proof that a pass gives.
     *
     * @param beganAtMillis when the pass began, on the monotonic clock
     * @param shortestPassMillis the shortest time that a pass has taken at the endpoint
     * @return the proof
     */
    static ReadBack of(long beganAtMillis, long shortestPassMillis) {
        return new ReadBack(beganAtMillis, Math.clamp(PASSES * shortestPassMillis, MIN_VALID_MILLIS, MAX_VALID_MILLIS));
    }

    /** Whether layers that are loaded by the given time may be relied on. */
    boolean isValidAt(long nowMillis) {
        return nowMillis - beganAtMillis <= maxAgeMillis;
    }
}
