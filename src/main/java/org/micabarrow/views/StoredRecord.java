package org.micabarrow.views;

import java.util.Objects;

/**
 * The newest record of a key.
 *
 * @param key the key
 * @param offset where the record stands in its topic
 * @param value the value; empty if the key was dropped
 */
public record StoredRecord(String key, long offset, byte[] value) {

    /** How much of what another writer wrote goes into a line of the log, in characters: a key has up to 255. */
    private static final int SHOWN_CHARS = 120;

    /** Checks that the parts are present. */
    public StoredRecord {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(value, "value is null");
    }

    /**
     * Whether the key was dropped.
     *
     * @return true if there is no value
     */
    public boolean dropped() {
        return value.length == 0;
    }

    /**
     * The key as it may stand in a line of the log.
     *
     * @return its beginning, without what would end the line or hide in it
     */
    public String shownKey() {
        return shown(key);
    }

    /**
     * What another writer wrote, as it may stand in a line of the log.
     *
     * @param text the text
     * @return its beginning, without what would end the line or hide in it
     */
    public static String shown(String text) {
        String line = text.replaceAll("[^ -~]", "?").replace('"', '\'');
        return line.length() <= SHOWN_CHARS ? line : line.substring(0, SHOWN_CHARS) + "...";
    }
}
