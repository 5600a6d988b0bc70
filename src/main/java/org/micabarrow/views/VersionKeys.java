package org.micabarrow.views;

import java.util.Collection;
import java.util.List;
import java.util.OptionalLong;

/** The keys under which named weight versions are kept: one a version, so that no write can hide another. */
public final class VersionKeys {

    private static final String PREFIX = "version/";
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
        return PREFIX + model + BEFORE_VERSION + version;
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
        String prefix = PREFIX + model + BEFORE_VERSION;
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
