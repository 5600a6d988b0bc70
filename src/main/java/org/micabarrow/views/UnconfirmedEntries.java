package org.micabarrow.views;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Entries of a restored store whose endpoints are known to be gone. The platform removes the entry of an endpoint that
 * is silent, so one that lasts shows that the endpoint runs. Not thread-safe.
 */
final class UnconfirmedEntries {

    /**
     * How long an entry has to last, in milliseconds: longer than the three intervals of silence after which the
     * platform removes it.
     */
    static final long CONFIRMATION_MILLIS = 5_000;

    private final Map<String, Pending> pendingById = new HashMap<>();

    private record Pending(StoredRecord record, long dueMillis) {}

    void add(StoredRecord record, long nowMillis) {
        pendingById.put(record.key(), new Pending(record, nowMillis + CONFIRMATION_MILLIS));
    }

    /** Forgets the entry of an endpoint, of which another record was read. */
    void remove(String id) {
        pendingById.remove(id);
    }

    /** Removes and returns the entries that have lasted. */
    List<StoredRecord> removeConfirmed(long nowMillis) {
        List<StoredRecord> confirmed = new ArrayList<>();
        pendingById.values().removeIf(pending -> {
            boolean due = pending.dueMillis() <= nowMillis;
            if (due) {
                confirmed.add(pending.record());
            }
            return due;
        });
        return confirmed;
    }
}
