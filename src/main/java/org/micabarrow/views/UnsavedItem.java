package org.micabarrow.views;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/** A fact from operator records that is not known to be saved in {@link Topic#NAMED}, where it has its own key. */
public sealed interface UnsavedItem {

    /**
     * The key under which it is saved.
     *
     * @return the key
     */
    String key();

    /**
     * Keys that are no longer needed once this item is saved.
     *
     * @return the keys
     */
    List<String> outdated();

    /**
     * A named weight version.
     *
     * @param model the model
     * @param version the version
     * @param namedMillis the Unix time in milliseconds from which this process counts the bound of older versions;
     *     empty if the version was already named when this process first read it
     * @param namedByMillis the Unix time in milliseconds by which it was named, at the latest; empty unless this process
     *     learned of it after it had read records that did not show it
     * @param outdated keys of versions of the model that are no longer needed
     */
    record Weights(
            String model, long version, OptionalLong namedMillis, OptionalLong namedByMillis, List<String> outdated)
            implements UnsavedItem {

        /** Copies the keys. */
        public Weights {
            Objects.requireNonNull(model, "model is null");
            Objects.requireNonNull(namedMillis, "namedMillis is null");
            Objects.requireNonNull(namedByMillis, "namedByMillis is null");
            outdated = List.copyOf(outdated);
        }

        @Override
        public String key() {
            return VersionKeys.ofVersion(model, version);
        }
    }

    /**
     * The position of a manifest. Only the version and the offset are saved, not the manifest itself.
     *
     * @param version the version of the manifest
     * @param offset its offset among the operator records
     * @param outdated keys of manifests that are no longer needed
     */
    record Manifest(long version, long offset, List<String> outdated) implements UnsavedItem {

        /** Copies the keys. */
        public Manifest {
            outdated = List.copyOf(outdated);
        }

        @Override
        public String key() {
            return VersionKeys.ofManifest(version);
        }
    }
}
