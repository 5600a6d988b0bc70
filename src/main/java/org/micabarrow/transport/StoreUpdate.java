package org.micabarrow.transport;

import java.util.Objects;
import java.util.Optional;
import org.micabarrow.views.ChangeOffsets;
import org.micabarrow.views.ManifestPosition;

/**
 * What an entry that is in touch with the store tells agents nearby, so that they need not ask the store whether there is news.
 *
 * @param port the port at which the entry can be asked for records
 * @param changes where the last changes stand that it knows of
 * @param manifest where the newest manifest stands; empty if none is known
 * @param knownMillisAgo how long ago it knew all that operators wrote, in milliseconds
 * @param direct whether it reads the store itself, so that other entries may go by it
 */
public record StoreUpdate(
        int port, ChangeOffsets changes, Optional<ManifestPosition> manifest, long knownMillisAgo, boolean direct) {

    /** Checks that nothing is missing. */
    public StoreUpdate {
        Objects.requireNonNull(changes, "changes is null");
        Objects.requireNonNull(manifest, "manifest is null");
    }

    /**
     * What an agent told an entry of the one that reads the store for the region.
     *
     * @param peer the host and port at which that one can be asked for records
     * @param operator the offset after the last change of operators that it knows of
     * @param asOfMillis the moment on the entry's steady clock up to which that one knows all that operators wrote
     */
    public record Heard(String peer, long operator, long asOfMillis) {

        /** Checks that nothing is missing. */
        public Heard {
            Objects.requireNonNull(peer, "peer is null");
        }
    }
}
