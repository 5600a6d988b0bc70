package org.micabarrow.views;

import java.util.List;
import java.util.Optional;

/**
 * What is not known to be saved in {@link Topic#NAMED}.
 *
 * @param versions the newest weight versions
 * @param manifest the newest manifest
 * @param knownTo the offset before which all operator records are known; it is worth saving with the rest
 */
record Unsaved(List<UnsavedItem> versions, Optional<UnsavedItem> manifest, long knownTo) {

    /** Whether nothing needs to be saved. */
    boolean isEmpty() {
        return versions.isEmpty() && manifest.isEmpty();
    }

    /** Whether saving some items leaves nothing else to save. */
    boolean isCoveredBy(List<UnsavedItem> items) {
        return items.containsAll(versions)
                && manifest.filter(item -> !items.contains(item)).isEmpty();
    }
}
