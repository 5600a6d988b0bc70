package org.micabarrow.transport;

import java.util.Objects;
import java.util.Optional;
import org.micabarrow.views.ChangeOffsets;
import org.micabarrow.views.ManifestPosition;

/**
 * What an entry that has contact with the store reports to agents of its region, so that they need not poll the store
 * for changes.
 *
 * @param port the port at which the entry serves records
 * @param changes the offsets of the last changes that it knows of
 * @param manifest the position of the newest manifest; empty if none is known
 * @param knownMillisAgo how long ago it knew everything that operators had written, in milliseconds
 * @param direct whether it reads the store itself, so that other entries may rely on it
 */
public record StoreUpdate(
        int port, ChangeOffsets changes, Optional<ManifestPosition> manifest, long knownMillisAgo, boolean direct) {

    /** Checks that no component is null. */
    public StoreUpdate {
        Objects.requireNonNull(changes, "changes is null");
        Objects.requireNonNull(manifest, "manifest is null");
    }

    /**
     * What an agent reported to an entry about the entry that reads the store for the region.
     *
     * @param peer the host and port at which the reading entry serves records
     * @param operatorOffset the offset after the last operator change that it knows of
     * @param asOfMillis the time on the receiving entry's monotonic clock up to which the reading entry knows
     *     everything that operators wrote
     */
    public record ReaderState(String peer, long operatorOffset, long asOfMillis) {

        /** Checks that no component is null. */
        public ReaderState {
            Objects.requireNonNull(peer, "peer is null");
        }
    }
}
