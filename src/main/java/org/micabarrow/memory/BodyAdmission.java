package org.micabarrow.memory;

/**
 * Decides whether a request body may be read into memory. It answers many large bodies at once: they are refused while small
 * requests and the answers under way still have room, so that the process does not exceed its memory and lose all of them.
 */
public final class BodyAdmission {

    /**
     * Up to this size, a body is small, in bytes: an ordinary prompt, of which a thousand fit where sixteen large bodies of 4 MiB
     * do.
     */
    public static final long MAX_SMALL_BYTES = 64 * 1024;

    /** The part of the limit that large bodies may fill; the rest is left to small bodies and to answers. */
    private static final double LARGE_PART = 0.75;

    private BodyAdmission() {}

    /**
     * Decides on one body.
     *
     * @param bodyBytes its size
     * @param heldBytes what is held already
     * @param limitBytes how much may be held
     * @return whether it may be read
     */
    public static boolean admits(long bodyBytes, long heldBytes, long limitBytes) {
        double room = bodyBytes <= MAX_SMALL_BYTES ? limitBytes : limitBytes * LARGE_PART;
        return bodyBytes == 0 || heldBytes + bodyBytes <= room;
    }
}
