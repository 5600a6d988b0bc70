package org.micabarrow.platform;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.micabarrow.views.StoredRecord;

/**
 * The wire format of keyed records: the length of the rest in four bytes, the length of the key in one byte, the key in UTF-8, and
 * the value.
 *
 * <pre>{@code
 * byte[] body = KeyedRecords.framed(KeyedRecords.record("version/m/2", value));
 * StoredRecord read = KeyedRecords.read(KeyedRecords.next(ByteBuffer.wrap(body)), 7);
 * }</pre>
 */
public final class KeyedRecords {

    /** The maximum length of a key in bytes, since its length is one byte on the wire. */
    static final int MAX_KEY_BYTES = 255;

    private KeyedRecords() {}

    /** Thrown for bytes that are not a key and a value. */
    public static final class MalformedRecordException extends Exception {

        private static final long serialVersionUID = 1;

        private MalformedRecordException(String why) {
            super(why);
        }
    }

    // -- writing

    /**
     * Returns whether a key fits into a record.
     *
     * @param key the key
     * @return true if it is not too long
     */
    static boolean fits(String key) {
        return bytes(key).length <= MAX_KEY_BYTES;
    }

    /**
     * Encodes a record without its length.
     *
     * @param key the key, of at most 255 bytes
     * @param value the value; an empty one deletes the key
     * @return the length of the key, the key, and the value
     * @throws IllegalArgumentException if the key is longer, since its length would be decoded as another one
     */
    public static byte[] record(String key, byte[] value) {
        Objects.requireNonNull(value, "value is null");
        byte[] name = bytes(Objects.requireNonNull(key, "key is null"));
        if (name.length > MAX_KEY_BYTES) {
            throw new IllegalArgumentException("the key is over " + MAX_KEY_BYTES + " bytes");
        }
        return ByteBuffer.allocate(1 + name.length + value.length)
                .put((byte) name.length)
                .put(name)
                .put(value)
                .array();
    }

    /**
     * Prefixes bytes with their length.
     *
     * @param record a record, or other bytes in its place
     * @return the length and the bytes
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
     * Reads the next of several records.
     *
     * @param bytes positioned at the record's length; afterwards positioned after the record
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
     * Decodes a record.
     *
     * @param record the record without its length
     * @param offset its offset in the topic
     * @return its key and value
     * @throws MalformedRecordException if it has no key, is shorter than its key, or its key is not valid UTF-8
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

    /** Rejects invalid UTF-8: with a replacement character, different keys would become equal. */
    private static String text(ByteBuffer key) throws MalformedRecordException {
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(key).toString();
        } catch (CharacterCodingException e) {
            throw new MalformedRecordException("the key is no text: " + e);
        }
    }
}
