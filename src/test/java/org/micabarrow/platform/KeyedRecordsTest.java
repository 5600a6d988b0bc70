package org.micabarrow.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.platform.KeyedRecords.MalformedRecordException;
import org.micabarrow.views.StoredRecord;

/** The bytes of keyed records, spelled out here once. */
class KeyedRecordsTest {

    private static final byte[] WIRE = {0, 0, 0, 5, 2, 'k', '1', 'v', 'w'};

    @Test
    void shouldWriteLengthKeyAndValue() {
        assertArrayEquals(WIRE, KeyedRecords.framed(KeyedRecords.record("k1", new byte[] {'v', 'w'})));
    }

    @ParameterizedTest
    @ValueSource(strings = {"k", "version/modèle/3", "鍵"})
    void shouldReadWhatItWrote(String key) throws MalformedRecordException {
        byte[] value = {1, 0, -1};
        ByteBuffer bytes = ByteBuffer.wrap(KeyedRecords.framed(KeyedRecords.record(key, value)));
        StoredRecord read = KeyedRecords.read(KeyedRecords.next(bytes), 7);
        assertEquals(key, read.key());
        assertEquals(7, read.offset());
        assertArrayEquals(value, read.value());
        assertFalse(bytes.hasRemaining());
    }

    @Test
    void shouldReadLongestKeyAndSayWhichFits() throws MalformedRecordException {
        String longest = "k".repeat(KeyedRecords.MAX_KEY_BYTES);
        assertTrue(KeyedRecords.fits(longest));
        assertFalse(KeyedRecords.fits(longest + "k"));
        assertFalse(KeyedRecords.fits("é".repeat(KeyedRecords.MAX_KEY_BYTES / 2 + 1)));
        ByteBuffer record = ByteBuffer.wrap(KeyedRecords.record(longest, new byte[0]));
        assertEquals(longest, KeyedRecords.read(record, 0).key());
    }

    @Test
    void shouldWriteNoKeyThatIsTooLong() {
        String tooLong = "k".repeat(KeyedRecords.MAX_KEY_BYTES + 1);
        assertThrows(IllegalArgumentException.class, () -> KeyedRecords.record(tooLong, new byte[0]));
    }

    private static Stream<byte[]> malformed() {
        return Stream.of(
                new byte[0], new byte[] {0}, new byte[] {0, 'v'}, new byte[] {2, 'k'}, new byte[] {1, (byte) 0xFF, 'v'
                });
    }

    @ParameterizedTest
    @MethodSource("malformed")
    void shouldRefuseRecordWhenItIsNoKeyAndValue(byte[] record) {
        assertThrows(MalformedRecordException.class, () -> KeyedRecords.read(ByteBuffer.wrap(record), 0));
    }

    private static Stream<byte[]> brokenOff() {
        return Stream.of(new byte[] {0, 0, 0}, new byte[] {0, 0, 0, 2, 1}, new byte[] {-1, -1, -1, -1, 1});
    }

    @ParameterizedTest
    @MethodSource("brokenOff")
    void shouldTellWhenBytesEndWithinRecord(byte[] bytes) {
        assertThrows(BufferUnderflowException.class, () -> KeyedRecords.next(ByteBuffer.wrap(bytes)));
    }
}
