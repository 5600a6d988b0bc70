package org.micabarrow.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;

/**
 * Reads fields of JSON that other programs wrote, without converting types: if one field has an unexpected type, the others cannot
 * be relied on either.
 */
final class JsonFields {

    private JsonFields() {}

    /** Thrown if a field is missing or has an unexpected type or value. */
    static final class MalformedField extends RuntimeException {

        private static final long serialVersionUID = 1;

        MalformedField(String message) {
            super(message);
        }
    }

    private static MalformedField not(String field, String what) {
        return new MalformedField("field " + field + " is not " + what);
    }

    private static Optional<JsonNode> present(JsonNode json, String field) {
        return Optional.ofNullable(json.get(field)).filter(value -> !value.isNull());
    }

    private static JsonNode need(JsonNode json, String field) {
        return present(json, field).orElseThrow(() -> new MalformedField("field " + field + " is missing"));
    }

    // -- required fields

    static JsonNode object(JsonNode json, String what) {
        if (!json.isObject()) {
            throw new MalformedField(what + " is no object");
        }
        return json;
    }

    static String text(JsonNode json, String field) {
        JsonNode value = need(json, field);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            throw not(field, "a text");
        }
        return value.textValue();
    }

    static long whole(JsonNode json, String field, long least) {
        JsonNode value = need(json, field);
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < least) {
            throw not(field, "a whole number from " + least);
        }
        return value.longValue();
    }

    static int wholeInt(JsonNode json, String field, int least) {
        long value = whole(json, field, least);
        if (value > Integer.MAX_VALUE) {
            throw not(field, "at most " + Integer.MAX_VALUE);
        }
        return (int) value;
    }

    static double number(JsonNode json, String field) {
        need(json, field);
        return numberOr(json, field, 0);
    }

    /** The objects of a list. */
    static List<JsonNode> objects(JsonNode json, String field) {
        JsonNode list = need(json, field);
        if (!list.isArray()) {
            throw not(field, "a list");
        }
        List<JsonNode> all = list.valueStream().toList();
        all.forEach(one -> object(one, "a part of " + field));
        return all;
    }

    // -- optional fields, which must have the expected type if present

    static Optional<String> textIfPresent(JsonNode json, String field) {
        return present(json, field).map(value -> text(json, field));
    }

    static Optional<JsonNode> objectIfPresent(JsonNode json, String field) {
        return present(json, field).map(value -> object(value, "field " + field));
    }

    static Optional<Double> numberIfPresent(JsonNode json, String field) {
        Optional<JsonNode> value = present(json, field);
        if (value.filter(one -> !one.isNumber()).isPresent()) {
            throw not(field, "a number");
        }
        return value.map(JsonNode::doubleValue);
    }

    static double numberOr(JsonNode json, String field, double otherwise) {
        return numberIfPresent(json, field).orElse(otherwise);
    }

    /** A number, truncated to an integer. */
    static int intOr(JsonNode json, String field, int otherwise) {
        return (int) numberOr(json, field, otherwise);
    }

    /** A number, truncated to an integer. */
    static long longOr(JsonNode json, String field, long otherwise) {
        return (long) numberOr(json, field, otherwise);
    }

    static boolean flag(JsonNode json, String field) {
        Optional<JsonNode> value = present(json, field);
        if (value.filter(one -> !one.isBoolean()).isPresent()) {
            throw not(field, "true or false");
        }
        return value.filter(JsonNode::booleanValue).isPresent();
    }

    static List<JsonNode> objectsIfPresent(JsonNode json, String field) {
        return present(json, field).map(list -> objects(json, field)).orElse(List.of());
    }

    /** The strings of a list, none if the field is absent. */
    static List<String> texts(JsonNode json, String field) {
        Optional<JsonNode> list = present(json, field);
        if (list.filter(one -> !one.isArray()).isPresent()) {
            throw not(field, "a list");
        }
        List<JsonNode> all = list.stream().flatMap(JsonNode::valueStream).toList();
        if (!all.stream().allMatch(JsonNode::isTextual)) {
            throw not(field, "a list of texts");
        }
        return all.stream().map(JsonNode::textValue).toList();
    }
}
