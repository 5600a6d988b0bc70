package org.micabarrow.transport;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/**
 * Fields at the end of a datagram, each with a tag and a length, so that a process skips those that it does not know. A
 * field that is absent has the meaning that its reader documents.
 */
final class AppendedFields {

    /** The size of a tag and a length, in bytes. */
    private static final int HEADER_BYTES = 1 + Short.BYTES;

    private final Map<Byte, byte[]> fields = new LinkedHashMap<>();

    private AppendedFields() {}

    // -- static factories

    static AppendedFields empty() {
        return new AppendedFields();
    }

    /**
     * Reads all fields up to the end of a datagram. The last one counts if a tag occurs twice.
     *
     * @throws BufferUnderflowException if a field is truncated
     */
    static AppendedFields read(ByteBuffer datagram) {
        AppendedFields read = new AppendedFields();
        while (datagram.hasRemaining()) {
            byte tag = datagram.get();
            int length = Short.toUnsignedInt(datagram.getShort());
            if (length > datagram.remaining()) {
                throw new BufferUnderflowException();
            }
            byte[] value = new byte[length];
            datagram.get(value);
            read.fields.put(tag, value);
        }
        return read;
    }

    // -- writing

    /** Adds a field. The buffer's remaining bytes are its content. */
    AppendedFields with(byte tag, ByteBuffer content) {
        byte[] value =
                new byte[Objects.requireNonNull(content, "content is null").remaining()];
        content.get(value);
        fields.put(tag, value);
        return this;
    }

    int size() {
        int size = 0;
        for (byte[] value : fields.values()) {
            size += HEADER_BYTES + value.length;
        }
        return size;
    }

    void write(ByteBuffer datagram) {
        fields.forEach((tag, value) -> {
            datagram.put(tag);
            datagram.putShort((short) value.length);
            datagram.put(value);
        });
    }

    // -- reading

    /**
     * Returns the decoded value of a field; bytes that a later build added to the end of the field are ignored.
     *
     * @return the value, empty if the field is absent
     * @throws BufferUnderflowException if the field is shorter than what the decoder reads
     */
    <T> Optional<T> field(byte tag, Function<ByteBuffer, T> decoder) {
        return Optional.ofNullable(fields.get(tag)).map(ByteBuffer::wrap).map(decoder);
    }
}
