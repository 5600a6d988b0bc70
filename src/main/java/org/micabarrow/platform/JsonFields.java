package org.micabarrow.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;

/**
 * Reads the fields of what others write. Nothing is turned into another type: a field that is not as the platform's pages
 * say comes from a writer whose other fields mean nothing either.
 */
final class JsonFields {

    private JsonFields() {}

    /** A field is missing, or is not what it must be. */
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

    // -- what must be there

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

    // -- what may be left out; of a wrong type it may not be

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

    /** A number without its fraction. */
    static int intOr(JsonNode json, String field, int otherwise) {
        return (int) numberOr(json, field, otherwise);
    }

    /** A number without its fraction. */
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

    /** The texts of a list, none if it is left out. */
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
