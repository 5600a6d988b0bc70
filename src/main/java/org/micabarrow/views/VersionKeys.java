package org.micabarrow.views;

import java.util.Collection;
import java.util.List;
import java.util.OptionalLong;

/**
 * The keys under which named weight versions and manifest positions are saved. Each version has its own key, so that no
 * write can replace another version.
 */
public final class VersionKeys {

    /** The prefix of keys of weight versions, the same as in the records that operators write. */
    public static final String VERSION_PREFIX = "version/";

    /** The prefix of keys of manifest positions. */
    public static final String MANIFEST_PREFIX = "manifest/";

    private static final char SEPARATOR = '/';

    /**
     * How many versions of a model before the newest are retained: there are never more in transit at once, and a
     * version that is written late is older than one of these.
     */
    private static final int RETAINED_VERSIONS = 8;

    private VersionKeys() {}

    /**
     * Returns the key of a weight version.
     *
     * @param model the model
     * @param version the version
     * @return the key
     */
    public static String ofVersion(String model, long version) {
        return VERSION_PREFIX + model + SEPARATOR + version;
    }

    /**
     * Returns the key of a manifest position.
     *
     * @param version the version of the manifest
     * @return the key
     */
    public static String ofManifest(long version) {
        return MANIFEST_PREFIX + version;
    }

    /** Returns the keys of manifests that are older than the given version; only the newest manifest is needed. */
    static List<String> outdatedManifests(Collection<String> keys, long newest) {
        return keys.stream()
                .filter(key -> key.startsWith(MANIFEST_PREFIX))
                .filter(key -> version(key.substring(MANIFEST_PREFIX.length())).orElse(newest) < newest)
                .sorted()
                .toList();
    }

    /**
     * Returns the keys of a model's versions that are no longer needed once a newer one is saved.
     *
     * @param keys the existing keys
     * @param model the model
     * @param newest its newest version
     * @return the keys of versions that are too old to be retained
     */
    static List<String> outdatedVersions(Collection<String> keys, String model, long newest) {
        String prefix = VERSION_PREFIX + model + SEPARATOR;
        return keys.stream()
                .filter(key -> key.startsWith(prefix))
                .filter(key -> version(key.substring(prefix.length())).orElse(newest) < newest - RETAINED_VERSIONS)
                .sorted()
                .toList();
    }

    private static OptionalLong version(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            // The key belongs to another model whose name starts with the same characters.
            return OptionalLong.empty();
        }
    }
}
