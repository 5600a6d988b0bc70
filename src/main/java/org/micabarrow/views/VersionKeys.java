package org.micabarrow.views;

import java.util.Collection;
import java.util.List;
import java.util.OptionalLong;

/** The keys under which named weight versions and manifests are kept: one a version, so that no write can hide another. */
public final class VersionKeys {

    /** Begins the keys of weight versions, as it does where operators write them. */
    public static final String VERSIONS = "version/";

    /** Begins the keys of manifests. */
    public static final String MANIFESTS = "manifest/";

    private static final char BEFORE_VERSION = '/';

    /**
     * How many versions before the newest are kept of a model: more are never on their way at once, and an older one that is
     * written late is older than one of these.
     */
    private static final int KEPT = 8;

    private VersionKeys() {}

    /**
     * The key of a version.
     *
     * @param model the model
     * @param version the version
     * @return the key
     */
    public static String of(String model, long version) {
        return VERSIONS + model + BEFORE_VERSION + version;
    }

    /**
     * The key of a manifest.
     *
     * @param version its version
     * @return the key
     */
    public static String ofManifest(long version) {
        return MANIFESTS + version;
    }

    /** The keys of manifests that are older than one: whoever looks for the newest needs no other. */
    static List<String> outdatedManifests(Collection<String> keys, long newest) {
        return keys.stream()
                .filter(key -> key.startsWith(MANIFESTS))
                .filter(key -> version(key.substring(MANIFESTS.length())).orElse(newest) < newest)
                .sorted()
                .toList();
    }

    /**
     * The keys of a model's versions that are of use no more once a newer one is kept.
     *
     * @param keys the keys that are there
     * @param model the model
     * @param newest its newest version
     * @return those of versions that are older by more than are kept
     */
    static List<String> outdated(Collection<String> keys, String model, long newest) {
        String prefix = VERSIONS + model + BEFORE_VERSION;
        return keys.stream()
                .filter(key -> key.startsWith(prefix))
                .filter(key -> version(key.substring(prefix.length())).orElse(newest) < newest - KEPT)
                .sorted()
                .toList();
    }

    private static OptionalLong version(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            // Another model's key, whose name begins like this one's.
            return OptionalLong.empty();
        }
    }
}
