package org.micabarrow.views;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A copy of the newest record of each key of a topic. It never goes back: a record counts only if its offset is above the
 * one held for the key, in whatever order and from whomever records come. Not safe for several threads at once.
 */
public final class TopicCopy {

    private static final byte[] NOTHING = {};

    private final Map<String, StoredRecord> newest = new HashMap<>();
    private long end;

    /**
     * Takes records as read from the topic, or from a peer.
     *
     * @param records the records
     * @param readTo the offset up to which everything that is still in the topic is now known
     * @return the records that were news
     */
    public List<StoredRecord> apply(Collection<StoredRecord> records, long readTo) {
        List<StoredRecord> news = new ArrayList<>();
        for (StoredRecord record : records) {
            if (takes(record)) {
                newest.put(record.key(), record);
                news.add(record);
            }
        }
        end = Math.max(end, readTo);
        return news;
    }

    /**
     * Takes the topic's newest records of all keys. Keys that are not among them have been dropped, unless a record read
     * since says otherwise.
     *
     * @param records the newest record of each key
     * @param takenAt the topic's end before the first of them was read
     * @return the records that were news
     */
    public List<StoredRecord> replace(Collection<StoredRecord> records, long takenAt) {
        Set<String> present = new HashSet<>();
        records.forEach(record -> present.add(record.key()));
        List<StoredRecord> all = new ArrayList<>(records);
        for (StoredRecord held : List.copyOf(newest.values())) {
            if (!held.dropped() && !present.contains(held.key()) && held.offset() < takenAt) {
                all.add(new StoredRecord(held.key(), takenAt - 1, NOTHING));
            }
        }
        return apply(all, takenAt);
    }

    private boolean takes(StoredRecord record) {
        StoredRecord held =
                newest.get(Objects.requireNonNull(record, "record is null").key());
        return held == null || record.offset() > held.offset();
    }

    // -- questions

    /**
     * The offset to read from next.
     *
     * @return the first offset that is not known
     */
    public long end() {
        return end;
    }

    /**
     * The newest record of a key.
     *
     * @param key the key
     * @return the record, empty if the key is unknown or was dropped
     */
    public Optional<StoredRecord> record(String key) {
        return Optional.ofNullable(newest.get(key)).filter(held -> !held.dropped());
    }

    /**
     * The keys that were not dropped.
     *
     * @return the keys
     */
    public Set<String> keys() {
        return newest.values().stream()
                .filter(held -> !held.dropped())
                .map(StoredRecord::key)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * The newest records at or after an offset, of dropped keys too.
     *
     * @param offset the offset
     * @return the records
     */
    public List<StoredRecord> since(long offset) {
        return newest.values().stream().filter(held -> held.offset() >= offset).toList();
    }
}
