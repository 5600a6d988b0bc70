package org.micabarrow.transport.callers;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Objects;
import java.util.Optional;
import org.micabarrow.state.CanonicalJson;

/**
 * What the body of a chat completion says that the system needs. It is read token by token: as a tree, a body of empty objects would
 * take up dozens of times its length.
 *
 * @param model the model
 * @param prompt the roles and contents of all messages, one after the other
 * @param maxTokens the most tokens to generate; {@link Integer#MAX_VALUE} if not stated
 * @param stream whether the answer is to be a stream
 */
record ChatBody(String model, String prompt, int maxTokens, boolean stream) {

    ChatBody {
        Objects.requireNonNull(model, "model is null");
        Objects.requireNonNull(prompt, "prompt is null");
    }

    /**
     * Reads a body.
     *
     * @param body the body
     * @return what it says; empty if it has no text "model" or no list "messages"
     * @throws IOException if it is not JSON
     */
    static Optional<ChatBody> read(byte[] body) throws IOException {
        try (JsonParser parser = CanonicalJson.mapper().createParser(body)) {
            JsonToken first = parser.nextToken();
            if (first != JsonToken.START_OBJECT) {
                parser.skipChildren();
                return Optional.empty();
            }
            return readObject(parser);
        }
    }

    private static Optional<ChatBody> readObject(JsonParser parser) throws IOException {
        Optional<String> model = Optional.empty();
        Optional<String> prompt = Optional.empty();
        int maxTokens = Integer.MAX_VALUE;
        boolean stream = false;
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            JsonToken value = parser.nextToken();
            switch (name) {
                case "model" ->
                    model = value == JsonToken.VALUE_STRING ? Optional.of(parser.getText()) : Optional.empty();
                case "messages" ->
                    prompt = value == JsonToken.START_ARRAY ? Optional.of(readMessages(parser)) : Optional.empty();
                case "max_tokens" -> maxTokens = parser.getValueAsInt(Integer.MAX_VALUE);
                case "stream" -> stream = parser.getValueAsBoolean(false);
                default -> {}
            }
            parser.skipChildren();
        }
        if (model.isEmpty() || prompt.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new ChatBody(model.get(), prompt.get(), maxTokens, stream));
    }

    private static String readMessages(JsonParser parser) throws IOException {
        StringBuilder prompt = new StringBuilder();
        for (JsonToken next = parser.nextToken(); next != JsonToken.END_ARRAY; next = parser.nextToken()) {
            if (next == JsonToken.START_OBJECT) {
                readMessage(parser, prompt);
            } else {
                parser.skipChildren();
            }
        }
        return prompt.toString();
    }

    private static void readMessage(JsonParser parser, StringBuilder prompt) throws IOException {
        String role = "";
        String content = "";
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            JsonToken value = parser.nextToken();
            String text = value.isScalarValue() ? parser.getText() : "";
            switch (name) {
                case "role" -> role = text;
                case "content" -> content = text;
                default -> {}
            }
            parser.skipChildren();
        }
        prompt.append(role).append(content);
    }
}
