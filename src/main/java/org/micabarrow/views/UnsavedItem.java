package org.micabarrow.views;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * Something that operators wrote and that is not known to lie in {@link Topic#NAMED}, where it has a key of its own.
 */
public sealed interface UnsavedItem {

    /**
     * The key under which it is kept.
     *
     * @return the key
     */
    String key();

    /**
     * Keys there that are of use no more once this one is kept.
     *
     * @return the keys
     */
    List<String> outdated();

    /**
     * A named weight version.
     *
     * @param model the model
     * @param version the version
     * @param namedMillis the Unix millisecond at which this process learned that it was named; empty if it found it so
     * @param outdated keys of the model's versions that are of use no more
     */
    record Weights(String model, long version, OptionalLong namedMillis, List<String> outdated) implements UnsavedItem {

        /** Copies the keys. */
        public Weights {
            Objects.requireNonNull(model, "model is null");
            Objects.requireNonNull(namedMillis, "namedMillis is null");
            outdated = List.copyOf(outdated);
        }

        @Override
        public String key() {
            return VersionKeys.of(model, version);
        }
    }

    /**
     * A manifest. It is not kept whole: only its version and where it stands are.
     *
     * @param version its version
     * @param offset its offset among what operators wrote
     * @param outdated keys of manifests that are of use no more
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
