package org.micabarrow.views;

import java.util.Objects;

/**
 * The latest record of a key.
 *
 * @param key the key
 * @param offset the offset of the record in its topic
 * @param value the value; empty if the key was deleted
 */
public record StoredRecord(String key, long offset, byte[] value) {

    /** The maximum number of characters of foreign text in a log line: a key may have up to 255. */
    private static final int MAX_LOGGED_CHARS = 120;

    /** Validates the components. */
    public StoredRecord {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(value, "value is null");
    }

    /**
     * Whether this record deletes its key.
     *
     * @return true if the value is empty
     */
    public boolean isTombstone() {
        return value.length == 0;
    }

    /**
     * Returns the key in a form that is safe to log.
     *
     * @return the key, truncated, with control characters and quotes replaced
     */
    public String loggableKey() {
        return loggable(key);
    }

    /**
     * Returns text that another process wrote in a form that is safe to log.
     *
     * @param text the text
     * @return the text, truncated, with control characters and quotes replaced
     */
    public static String loggable(String text) {
        String safe = text.replaceAll("[^ -~]", "?").replace('"', '\'');
        return safe.length() <= MAX_LOGGED_CHARS ? safe : safe.substring(0, MAX_LOGGED_CHARS) + "...";
    }
}
