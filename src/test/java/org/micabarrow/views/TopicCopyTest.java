package org.micabarrow.views;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests that a copy of a topic never goes back to older records. */
class TopicCopyTest {

    private static StoredRecord record(String key, long offset, String value) {
        return new StoredRecord(key, offset, value.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void shouldKeepNewerRecordWhenOlderOneComesLater() {
        TopicCopy copy = new TopicCopy();
        copy.apply(List.of(record("a", 5, "new")), 6);
        assertEquals(List.of(), copy.apply(List.of(record("a", 3, "old")), 4));
        assertArrayEquals("new".getBytes(), copy.record("a").orElseThrow().value());
        assertEquals(6, copy.end());
    }

    @Test
    void shouldDeleteKeysWhenMissingFromLatestRecords() {
        TopicCopy copy = new TopicCopy();
        copy.apply(List.of(record("a", 1, "x"), record("b", 2, "x")), 3);
        copy.replace(List.of(record("b", 2, "x")), 9);
        assertTrue(copy.record("a").isEmpty());
        assertTrue(copy.record("b").isPresent());
    }

    @Test
    void shouldKeepKeyWhenWrittenAfterLatestRecordsWereRead() {
        TopicCopy copy = new TopicCopy();
        copy.apply(List.of(record("a", 12, "x")), 13);
        copy.replace(List.of(), 9);
        assertTrue(copy.record("a").isPresent());
    }

    @Test
    void shouldTakeRecordsOfLaterEraWhateverTheirOffsets() {
        TopicCopy copy = new TopicCopy();
        copy.apply(List.of(record("a", 30, "x"), record("b", 31, "x")), 32);
        long end = EraOffset.of(1, 8);
        assertTrue(copy.isOfLaterEra(end));
        List<StoredRecord> accepted = copy.apply(List.of(record("a", EraOffset.of(1, 7), "y")), end);
        assertEquals(2, accepted.size(), "the new record, and the end of the key that is missing");
        assertArrayEquals("y".getBytes(), copy.record("a").orElseThrow().value());
        assertTrue(copy.record("b").isEmpty());
        assertEquals(end, copy.end());
        assertFalse(copy.isOfLaterEra(end));
    }

    @Test
    void shouldIgnoreRecordsOfEarlierEraWhenTheyComeLater() {
        TopicCopy copy = new TopicCopy();
        copy.replace(List.of(record("a", EraOffset.of(2, 3), "x")), EraOffset.of(2, 4));
        assertEquals(List.of(), copy.apply(List.of(record("a", 90, "old")), 92));
        assertEquals(List.of(), copy.replace(List.of(record("a", EraOffset.of(1, 90), "old")), EraOffset.of(1, 92)));
        assertArrayEquals("x".getBytes(), copy.record("a").orElseThrow().value());
        assertEquals(EraOffset.of(2, 4), copy.end());
    }

    @Test
    void shouldLetProcessOfEarlierEraContinueFromEnd() {
        TopicCopy copy = new TopicCopy();
        copy.replace(List.of(record("a", EraOffset.of(1, 3), "x")), EraOffset.of(1, 4));
        assertEquals(EraOffset.of(1, 4), copy.continueFrom(500));
        assertEquals(EraOffset.of(1, 2), copy.continueFrom(EraOffset.of(1, 2)));
        assertEquals(1, copy.since(500).size());
    }

    @Test
    void shouldReturnTombstonesToPeers() {
        TopicCopy copy = new TopicCopy();
        copy.apply(List.of(record("a", 1, "x")), 2);
        copy.apply(List.of(record("a", 4, "")), 5);
        assertEquals(1, copy.since(3).size());
        assertTrue(copy.since(3).getFirst().isTombstone());
    }

    /**
     * Regardless of the order and of duplicates, the copy ends with the latest record of each key; a map serves as the
     * oracle.
     */
    @Property(seed = "7", tries = 300)
    void shouldEndWithLatestRecordsInAnyOrder(
            @ForAll @Size(min = 1, max = 40) List<@IntRange(min = 0, max = 5) Integer> keys, @ForAll int shuffle) {
        List<StoredRecord> records = new ArrayList<>();
        Map<String, Long> latest = new HashMap<>();
        for (int offset = 0; offset < keys.size(); offset++) {
            String key = "k" + keys.get(offset);
            records.add(record(key, offset, "v" + offset));
            latest.put(key, (long) offset);
        }
        records.addAll(records);
        Collections.shuffle(records, new Random(shuffle));
        TopicCopy copy = new TopicCopy();
        records.forEach(item -> copy.apply(List.of(item), item.offset() + 1));
        latest.forEach((key, offset) ->
                assertEquals(offset, copy.record(key).orElseThrow().offset()));
        assertEquals(keys.size(), copy.end());
    }
}
