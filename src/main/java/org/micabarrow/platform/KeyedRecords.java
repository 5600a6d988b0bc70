package org.micabarrow.platform;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.micabarrow.views.StoredRecord;

/**
 * The form of keyed records on the platform's wire: the length of all that follows in four bytes, the length of the key in one,
 * the key in UTF-8, the value.
 *
 * <pre>{@code
 * byte[] body = KeyedRecords.framed(KeyedRecords.record("version/m/2", value));
 * StoredRecord read = KeyedRecords.read(KeyedRecords.next(ByteBuffer.wrap(body)), 7);
 * }</pre>
 */
public final class KeyedRecords {

    /** The most bytes of a key: its length is one byte on the wire. */
    static final int MOST_KEY_BYTES = 255;

    private KeyedRecords() {}

    /** A record that is no key and value. */
    public static final class MalformedRecordException extends Exception {

        private static final long serialVersionUID = 1;

        private MalformedRecordException(String why) {
            super(why);
        }
    }

    // -- writing

    /**
     * Whether a key fits into a record.
     *
     * @param key the key
     * @return true if its bytes are not too many
     */
    static boolean fits(String key) {
        return bytes(key).length <= MOST_KEY_BYTES;
    }

    /**
     * A record without the length that stands before it.
     *
     * @param key the key, of 255 bytes at the most
     * @param value the value; an empty one drops the key
     * @return the length of the key, the key, the value
     * @throws IllegalArgumentException if the key is longer, since its length would read as another one
     */
    public static byte[] record(String key, byte[] value) {
        Objects.requireNonNull(value, "value is null");
        byte[] name = bytes(Objects.requireNonNull(key, "key is null"));
        if (name.length > MOST_KEY_BYTES) {
            throw new IllegalArgumentException("the key is over " + MOST_KEY_BYTES + " bytes");
        }
        return ByteBuffer.allocate(1 + name.length + value.length)
                .put((byte) name.length)
                .put(name)
                .put(value)
                .array();
    }

    /**
     * Bytes with their length before them.
     *
     * @param record a record, or whatever bytes stand in its place
     * @return the length, the bytes
     */
    public static byte[] framed(byte[] record) {
        Objects.requireNonNull(record, "record is null");
        return ByteBuffer.allocate(Integer.BYTES + record.length)
                .putInt(record.length)
                .put(record)
                .array();
    }

    private static byte[] bytes(String key) {
        return key.getBytes(StandardCharsets.UTF_8);
    }

    // -- reading

    /**
     * Takes the next record out of a run of them.
     *
     * @param bytes stands before the record's length, and after the record afterwards
     * @return the record without its length
     * @throws BufferUnderflowException if the bytes end within the record
     */
    public static ByteBuffer next(ByteBuffer bytes) {
        int length = bytes.getInt();
        if (length < 0 || length > bytes.remaining()) {
            throw new BufferUnderflowException();
        }
        ByteBuffer record = bytes.slice(bytes.position(), length);
        bytes.position(bytes.position() + length);
        return record;
    }

    /**
     * Reads a record.
     *
     * @param record the record without its length
     * @param offset where it lies
     * @return its key and value
     * @throws MalformedRecordException if it has no key, is shorter than its key, or its key is no text
     */
    public static StoredRecord read(ByteBuffer record, long offset) throws MalformedRecordException {
        int keyLength = record.hasRemaining() ? record.get() & 0xFF : 0;
        if (keyLength == 0 || keyLength > record.remaining()) {
            throw new MalformedRecordException("the record is shorter than its key");
        }
        ByteBuffer key = record.slice(record.position(), keyLength);
        byte[] value = new byte[record.remaining() - keyLength];
        record.get(record.position() + keyLength, value);
        return new StoredRecord(text(key), offset, value);
    }

    /** A key that is no text is refused; a replaced character would make one key of two. */
    private static String text(ByteBuffer key) throws MalformedRecordException {
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(key).toString();
        } catch (CharacterCodingException e) {
            throw new MalformedRecordException("the key is no text: " + e);
        }
    }
}
