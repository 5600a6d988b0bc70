package org.micabarrow.state;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;

/**
 * The canonical JSON form, used for digests and for records in the log: keys are sorted, and white space and absent
 * values are left out.
 *
 * <pre>{@code
 * byte[] bytes = CanonicalJson.write(record);
 * }</pre>
 */
public final class CanonicalJson {

    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .defaultPropertyInclusion(
                    JsonInclude.Value.construct(JsonInclude.Include.NON_ABSENT, JsonInclude.Include.ALWAYS))
            .build();

    private CanonicalJson() {}

    /**
     * Returns the mapper, for callers that read or write streams.
     *
     * @return the shared mapper
     */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /**
     * Writes a value in canonical form.
     *
     * @param value the value
     * @return the JSON bytes
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot be written as JSON: " + value.getClass(), e);
        }
    }

    /**
     * Writes a value with line breaks and indentation, for people.
     *
     * @param value the value
     * @return the JSON text
     */
    public static String pretty(Object value) {
        try {
            return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot be written as JSON: " + value.getClass(), e);
        }
    }

    /**
     * Reads a value.
     *
     * @param bytes the bytes
     * @param type the type to read
     * @param <T> the type to read
     * @return the value
     * @throws IOException if the bytes are not JSON of this type
     */
    public static <T> T read(byte[] bytes, Class<T> type) throws IOException {
        return MAPPER.readValue(bytes, type);
    }

    /**
     * Computes the digest of a value's canonical form.
     *
     * @param value the value
     * @return the digest
     */
    public static String digest(Object value) {
        return Digest.of(write(value));
    }
}
