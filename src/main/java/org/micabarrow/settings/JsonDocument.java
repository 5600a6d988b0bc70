package org.micabarrow.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.PropertyBindingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Result;

/**
 * A JSON document with comments that can report the line number of each field.
 *
 * <pre>{@code
 * Result<AgentSettings> settings = JsonDocument.parse("agent.jsonc", bytes, Fault.Step.SETTINGS)
 *         .flatMap(document -> document.bind(AgentSettings.class, rules));
 * }</pre>
 */
public final class JsonDocument {

    private static final ObjectMapper MAPPER = JsonMapper.builder(JsonFactory.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .build())
            .addModule(new Jdk8Module())
            .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .build();

    private final String file;
    private final Fault.Step step;
    private final JsonNode root;
    private final byte[] text;

    private JsonDocument(String file, Fault.Step step, JsonNode root, byte[] text) {
        this.file = file;
        this.step = step;
        this.root = root;
        this.text = text;
    }

    /**
     * Parses a document.
     *
     * @param file the file's name, for errors
     * @param bytes the text in UTF-8
     * @param step the step to name in faults
     * @return the document, or the position of the syntax error
     */
    public static Result<JsonDocument> parse(String file, byte[] bytes, Fault.Step step) {
        Objects.requireNonNull(file, "file is null");
        try {
            JsonNode root = MAPPER.readTree(bytes);
            if (root == null || !root.isObject()) {
                return Result.failure(Fault.of(step, file, Reason.INVALID, file + ": the text is not a JSON object"));
            }
            return Result.success(new JsonDocument(file, step, root, bytes));
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            return Result.failure(
                    Fault.of(step, file, Reason.INVALID, file + ":" + line + ": " + e.getOriginalMessage()));
        } catch (IOException e) {
            return Result.failure(Fault.of(step, file, Reason.INVALID, file + ": " + e.getMessage()));
        }
    }

    /**
     * A constraint on a field.
     *
     * @param pointer the field, as in {@code /limits/bodyBytes}; {@code *} stands for each element of a list
     * @param test the condition
     * @param allowed a description of the allowed values, for error messages
     */
    public record Rule(String pointer, Predicate<JsonNode> test, String allowed) {

        /**
         * Returns a rule that requires an integer in a range.
         *
         * @param pointer the field
         * @param min the minimum
         * @param max the maximum
         * @return the rule
         */
        public static Rule range(String pointer, long min, long max) {
            return new Rule(
                    pointer,
                    node -> node.isIntegralNumber() && node.asLong() >= min && node.asLong() <= max,
                    "a whole number from " + min + " to " + max);
        }

        /**
         * Returns a rule that requires a string matching a pattern.
         *
         * @param pointer the field
         * @param pattern the regular expression
         * @param allowed a description of the allowed values
         * @return the rule
         */
        public static Rule pattern(String pointer, String pattern, String allowed) {
            return new Rule(pointer, node -> node.isTextual() && node.asText().matches(pattern), allowed);
        }
    }

    /**
     * Merges defaults into the document for fields that are absent.
     *
     * @param defaults the defaults
     * @return the completed document
     */
    public JsonDocument withDefaults(JsonDocument defaults) {
        return new JsonDocument(file, step, merge(defaults.root, root), text);
    }

    private static JsonNode merge(JsonNode defaults, JsonNode overrides) {
        if (!defaults.isObject() || !overrides.isObject()) {
            return overrides;
        }
        ObjectNode result = defaults.deepCopy();
        overrides.properties().forEach(field -> {
            JsonNode defaultValue = defaults.get(field.getKey());
            result.set(field.getKey(), defaultValue == null ? field.getValue() : merge(defaultValue, field.getValue()));
        });
        return result;
    }

    /**
     * Binds the document to a type and validates it.
     *
     * @param type the type
     * @param rules the constraints
     * @param <T> the type
     * @return the value, or all errors found
     */
    public <T> Result<T> bind(Class<T> type, List<Rule> rules) {
        List<String> errors = new ArrayList<>();
        rules.forEach(rule -> check(rule, errors));
        Optional<T> value = Optional.empty();
        try {
            value = Optional.of(MAPPER.treeToValue(root, type));
        } catch (PropertyBindingException e) {
            errors.add(locationOf(pointerOf(e)) + ": unknown field; allowed here: " + e.getKnownPropertyIds());
        } catch (JsonMappingException e) {
            errors.add(locationOf(pointerOf(e)) + ": " + reason(e.getOriginalMessage()));
        } catch (JsonProcessingException e) {
            errors.add(file + ": " + firstLine(e.getOriginalMessage()));
        }
        return errors.isEmpty() && value.isPresent()
                ? Result.success(value.get())
                : Result.failure(Fault.of(step, file, Reason.INVALID, String.join("\n", errors)));
    }

    private static String reason(String message) {
        boolean missing = message.startsWith("Null value for creator property") || message.contains("map `null`");
        return missing ? "is missing" : firstLine(message);
    }

    private static String firstLine(String message) {
        return message.lines().findFirst().orElse(message);
    }

    private static String pointerOf(JsonMappingException e) {
        StringBuilder pointer = new StringBuilder();
        e.getPath()
                .forEach(part -> pointer.append('/')
                        .append(part.getFieldName() == null ? String.valueOf(part.getIndex()) : part.getFieldName()));
        return pointer.toString();
    }

    private void check(Rule rule, List<String> errors) {
        for (String pointer : expand(rule.pointer())) {
            JsonNode node = root.at(pointer);
            if (!node.isMissingNode() && !rule.test().test(node)) {
                errors.add(locationOf(pointer) + ": " + node + " is not allowed; allowed: " + rule.allowed());
            }
        }
    }

    /** Expands each {@code *} in a pointer to the existing list indices. */
    private List<String> expand(String pointer) {
        int star = pointer.indexOf("/*");
        if (star < 0) {
            return List.of(pointer);
        }
        List<String> expanded = new ArrayList<>();
        JsonNode list = root.at(pointer.substring(0, star));
        for (int i = 0; i < list.size(); i++) {
            expanded.addAll(expand(pointer.substring(0, star) + "/" + i + pointer.substring(star + 2)));
        }
        return expanded;
    }

    private String locationOf(String pointer) {
        return file + ":" + lineOf(pointer) + ": " + (pointer.isEmpty() ? "/" : pointer);
    }

    /** Returns the line of a field, or of its nearest ancestor that is present in the file. */
    private int lineOf(String pointer) {
        Map<String, Integer> lineNumbers = lineNumbers();
        for (String ancestor = pointer;
                !ancestor.isEmpty();
                ancestor = ancestor.substring(0, ancestor.lastIndexOf('/'))) {
            Integer line = lineNumbers.get(ancestor);
            if (line != null) {
                return line;
            }
        }
        return 1;
    }

    /** Maps each field to its line. Computed only when there are errors, which most documents do not have. */
    private Map<String, Integer> lineNumbers() {
        Map<String, Integer> lines = new HashMap<>();
        try (JsonParser parser = MAPPER.createParser(text)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                String pointer = parser.getParsingContext().pathAsPointer().toString();
                lines.putIfAbsent(pointer, parser.currentTokenLocation().getLineNr());
            }
        } catch (IOException e) {
            throw new UncheckedIOException("a text that was parsed before cannot be parsed again", e);
        }
        return lines;
    }
}
