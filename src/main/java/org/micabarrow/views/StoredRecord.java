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
}
