package org.micabarrow.transport;

import static java.util.Objects.requireNonNull;

/**
 * What an agent tells an entry nearby of the one that reads the store for the entries of the region.
 *
 * @param peer the host and port at which that one can be asked for records
 * @param operator the offset after the last change of operators that it knows of
 * @param knownMillisAgo how long ago it knew all that operators wrote, in milliseconds
 */
public record ReaderNews(String peer, long operator, long knownMillisAgo) {

    /** Checks that nothing is missing. */
    public ReaderNews {
        requireNonNull(peer, "peer is null");
    }
}
