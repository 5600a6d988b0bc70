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
 * A copy of the latest record of each key of a topic. It never goes back to an older record: a record is accepted only
 * if its offset is greater than that of the current record of its key, regardless of the order and source of the
 * records. Offsets include the era of the store, so that every record of a later era is greater than those of earlier
 * ones. Not thread-safe.
 */
public final class TopicCopy {

    private static final byte[] EMPTY = {};

    private final Map<String, StoredRecord> latest = new HashMap<>();
    private long end;

    /** Every record from this offset on was read, or received from a peer that had read it. */
    private long contiguousFrom;

    /**
     * Applies records that were read from the topic or received from a peer. Those that reach into a later era are the
     * latest of all keys, since every offset of this copy is before them.
     *
     * @param records the records
     * @param readTo the offset up to which everything that is still in the topic is now known
     * @return the records that were new
     */
    public List<StoredRecord> apply(Collection<StoredRecord> records, long readTo) {
        return isOfLaterEra(readTo) ? replace(records, readTo) : applyNewer(records, readTo);
    }

    private List<StoredRecord> applyNewer(Collection<StoredRecord> records, long readTo) {
        List<StoredRecord> accepted = new ArrayList<>();
        for (StoredRecord record : records) {
            if (isNewer(record)) {
                latest.put(record.key(), record);
                accepted.add(record);
            }
        }
        end = Math.max(end, readTo);
        return accepted;
    }

    /**
     * Applies the latest records of all keys. Keys that are not among them were deleted, unless a newer record of the
     * key is already known. Records of an earlier era than this copy have no effect.
     *
     * @param records the latest record of each key
     * @param endBeforeRead the end of the topic before the first of them was read
     * @return the records that were new
     */
    public List<StoredRecord> replace(Collection<StoredRecord> records, long endBeforeRead) {
        Set<String> present = new HashSet<>();
        records.forEach(record -> present.add(record.key()));
        List<StoredRecord> updates = new ArrayList<>(records);
        for (StoredRecord current : List.copyOf(latest.values())) {
            if (!current.isTombstone() && !present.contains(current.key()) && current.offset() < endBeforeRead) {
                updates.add(new StoredRecord(current.key(), endBeforeRead - 1, EMPTY));
            }
        }
        if (endBeforeRead > end) {
            contiguousFrom = endBeforeRead;
        }
        return applyNewer(updates, endBeforeRead);
    }

    private boolean isNewer(StoredRecord record) {
        StoredRecord current =
                latest.get(Objects.requireNonNull(record, "record is null").key());
        return current == null || record.offset() > current.offset();
    }

    // -- queries

    /**
     * Whether records up to an offset come from a store that has continued from an older copy since those of this copy
     * were read.
     *
     * @param readTo the offset
     * @return false also while this copy is empty
     */
    public boolean isOfLaterEra(long readTo) {
        return !latest.isEmpty() && EraOffset.era(readTo) > EraOffset.era(end);
    }

    /**
     * The offset to read from next, in the era of the last read.
     *
     * @return the first unknown offset
     */
    public long end() {
        return end;
    }

    /**
     * Returns where a process can continue reading that knows all records before an offset and receives the latest ones
     * from this copy. Deletions before the first record that was read here are not part of this copy.
     *
     * @param offset the offset
     * @return the end of this copy, or the offset itself if records between the two were not read here; a process whose
     *     offset is of an earlier era has received all keys, and takes the others for deleted
     */
    public long continueFrom(long offset) {
        return offset >= contiguousFrom || EraOffset.era(offset) < EraOffset.era(end) ? end : offset;
    }

    /**
     * The latest record of a key.
     *
     * @param key the key
     * @return the record, empty if the key is unknown or was deleted
     */
    public Optional<StoredRecord> record(String key) {
        return Optional.ofNullable(latest.get(key)).filter(current -> !current.isTombstone());
    }

    /**
     * The keys that were not deleted.
     *
     * @return the keys
     */
    public Set<String> keys() {
        return latest.values().stream()
                .filter(current -> !current.isTombstone())
                .map(StoredRecord::key)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * The latest records at or after an offset, including tombstones.
     *
     * @param offset the offset
     * @return the records
     */
    public List<StoredRecord> since(long offset) {
        return latest.values().stream()
                .filter(current -> current.offset() >= offset)
                .toList();
    }
}
