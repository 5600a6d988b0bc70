package org.micabarrow.headers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The header fields of an HTTP message. Names are compared without case (RFC 9110, 5.1). Fields keep their order and
 * the spelling of their names, and a name may occur several times. Instances are immutable.
 *
 * <pre>{@code
 * HeaderFields fields = HeaderFields.empty().and("last-event-id", "5").and("Accept", "*");
 * fields.first("Last-Event-Id");                        // Optional[5]
 * fields.with("Last-Event-Id", "9").all("last-event-id"); // [9]
 * }</pre>
 */
public final class HeaderFields {

    private static final HeaderFields EMPTY = new HeaderFields(List.of());

    private static final String SEPARATOR = ", ";

    private final List<Field> fields;

    /**
     * One field.
     *
     * @param name its name as written
     * @param value its value
     */
    public record Field(String name, String value) {

        /** Checks that no component is null. */
        public Field {
            Objects.requireNonNull(name, "name is null");
            Objects.requireNonNull(value, "value is null");
        }

        /**
         * Returns whether the field has a name, in any case.
         *
         * @param otherName the name
         * @return true if the names differ in case at most
         */
        public boolean isNamed(String otherName) {
            return name.equalsIgnoreCase(otherName);
        }
    }

    private HeaderFields(List<Field> fields) {
        this.fields = fields;
    }

    // -- creation

    /**
     * Returns a header without fields.
     *
     * @return the header
     */
    public static HeaderFields empty() {
        return EMPTY;
    }

    /**
     * Creates a header from fields.
     *
     * @param fields the fields in their order
     * @return the header
     */
    public static HeaderFields of(Collection<Field> fields) {
        return new HeaderFields(List.copyOf(Objects.requireNonNull(fields, "fields is null")));
    }

    /**
     * Creates a header with one field.
     *
     * @param name its name
     * @param value its value
     * @return the header
     */
    public static HeaderFields of(String name, String value) {
        return EMPTY.and(name, value);
    }

    /**
     * Creates a header from values by name. Names that differ in case alone become one field with one of the values.
     *
     * @param values the values by name
     * @return the header
     */
    public static HeaderFields of(Map<String, String> values) {
        HeaderFields all = EMPTY;
        for (Map.Entry<String, String> entry : values.entrySet()) {
            all = all.with(entry.getKey(), entry.getValue());
        }
        return all;
    }

    // -- queries

    /**
     * Returns the value of the first field of a name.
     *
     * @param name the name, in any case
     * @return the value, empty if there is no such field
     */
    public Optional<String> first(String name) {
        return fields.stream()
                .filter(field -> field.isNamed(name))
                .map(Field::value)
                .findFirst();
    }

    /**
     * Returns the values of all fields of a name.
     *
     * @param name the name, in any case
     * @return the values in their order, empty if there is no such field
     */
    public List<String> all(String name) {
        return fields.stream()
                .filter(field -> field.isNamed(name))
                .map(Field::value)
                .toList();
    }

    /**
     * Returns the values of all fields of a name as one list, which has the same meaning (RFC 9110, 5.3).
     *
     * @param name the name, in any case
     * @return the values with commas between them, empty if there is no such field
     */
    public Optional<String> joined(String name) {
        List<String> values = all(name);
        return values.isEmpty() ? Optional.empty() : Optional.of(String.join(SEPARATOR, values));
    }

    /**
     * Returns whether there is a field of a name.
     *
     * @param name the name, in any case
     * @return true if there is at least one
     */
    public boolean contains(String name) {
        return fields.stream().anyMatch(field -> field.isNamed(name));
    }

    /**
     * Returns the fields.
     *
     * @return the fields in their order
     */
    public List<Field> toList() {
        return fields;
    }

    /**
     * Runs an action for each field, in their order.
     *
     * @param action the action
     */
    public void forEach(Consumer<Field> action) {
        fields.forEach(action);
    }

    // -- derived headers

    /**
     * Returns this header with one more field, beside those of the same name.
     *
     * @param name its name
     * @param value its value
     * @return the header
     */
    public HeaderFields and(String name, String value) {
        List<Field> extended = new ArrayList<>(fields);
        extended.add(new Field(name, value));
        return new HeaderFields(List.copyOf(extended));
    }

    /**
     * Returns this header with one field in the place of all fields of its name, in any case.
     *
     * @param name its name
     * @param value its value
     * @return the header
     */
    public HeaderFields with(String name, String value) {
        return filter(field -> !field.isNamed(name)).and(name, value);
    }

    /**
     * Returns this header with at most one field of a name, in the place of all fields of that name, in any case.
     *
     * @param name the name
     * @param value the field's value, empty for no field
     * @return the header
     */
    public HeaderFields with(String name, Optional<String> value) {
        return value.map(present -> with(name, present)).orElseGet(() -> without(List.of(name)));
    }

    /**
     * Returns this header without the fields of some names.
     *
     * @param names the names, in any case
     * @return the header
     */
    public HeaderFields without(Collection<String> names) {
        return filter(field -> names.stream().noneMatch(field::isNamed));
    }

    private HeaderFields filter(Predicate<Field> predicate) {
        return new HeaderFields(fields.stream().filter(predicate).toList());
    }

    // -- value

    @Override
    public boolean equals(Object other) {
        return other instanceof HeaderFields header && fields.equals(header.fields);
    }

    @Override
    public int hashCode() {
        return fields.hashCode();
    }

    @Override
    public String toString() {
        return fields.toString();
    }
}
