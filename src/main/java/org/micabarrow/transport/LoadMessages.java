package org.micabarrow.transport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.OptionalInt;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.state.CanonicalJson;

/** The datagrams by which entries ask agents how their endpoints are. One that is lost is made up for by the next. */
final class LoadMessages {

    /** The greatest datagram, in bytes; they are well under a hundred. */
    private static final int MOST_BYTES = 512;

    // Names in the messages; they are single letters, since bytes between regions are paid for.
    private static final String ENTRY = "e";
    private static final String PROMPT_TOKENS = "p";
    private static final String REQUESTS = "r";
    private static final String LOADING = "l";
    private static final String VERSION = "v";
    private static final String NUMBER = "n";
    private static final String UNMET = "u";
    private static final String PLACES = "f";
    private static final String START = "s";

    private LoadMessages() {}

    // -- questions

    /**
     * An entry's question, which tells what the entry itself has waiting there.
     *
     * @param entry the entry's name
     * @param promptTokens the prompt tokens of its requests whose answers have not begun
     * @param number tells it from the entry's other questions
     * @param unmet the requests for models that the entry turned away for want of room in about the last second
     */
    record Question(String entry, int promptTokens, int number, int unmet) {}

    static ByteBuffer write(Question question) {
        ObjectNode json = CanonicalJson.mapper().createObjectNode();
        json.put(ENTRY, question.entry());
        json.put(PROMPT_TOKENS, question.promptTokens());
        json.put(NUMBER, question.number());
        json.put(UNMET, question.unmet());
        return ByteBuffer.wrap(CanonicalJson.write(json));
    }

    static Question question(byte[] bytes) throws IOException {
        JsonNode json = CanonicalJson.mapper().readTree(bytes);
        return new Question(
                json.path(ENTRY).asText(),
                json.path(PROMPT_TOKENS).asInt(),
                json.path(NUMBER).asInt(),
                json.path(UNMET).asInt());
    }

    // -- answers

    /**
     * An agent's answer.
     *
     * @param number the number of the entry's question; if nothing was asked, that of the last
     * @param told how the endpoint is
     */
    record Answer(int number, LoadReport told) {}

    static ByteBuffer write(Answer answer) {
        LoadReport told = answer.told();
        ObjectNode json = CanonicalJson.mapper().createObjectNode();
        json.put(REQUESTS, told.requests());
        json.put(PROMPT_TOKENS, told.othersPromptTokens());
        json.put(LOADING, told.loading());
        json.put(VERSION, told.version());
        json.put(NUMBER, answer.number());
        json.put(PLACES, told.places());
        told.start().ifPresent(token -> json.put(START, token));
        return ByteBuffer.wrap(CanonicalJson.write(json));
    }

    static Answer answer(byte[] bytes) throws IOException {
        JsonNode json = CanonicalJson.mapper().readTree(bytes);
        LoadReport told = new LoadReport(
                json.path(REQUESTS).asInt(),
                json.path(PROMPT_TOKENS).asInt(),
                json.path(LOADING).asBoolean(),
                json.path(VERSION).asLong(),
                json.path(PLACES).asInt(LoadReport.ANY_PLACES),
                json.has(START) ? OptionalInt.of(json.path(START).asInt()) : OptionalInt.empty());
        return new Answer(json.path(NUMBER).asInt(), told);
    }

    // -- either

    /**
     * A datagram as it came in.
     *
     * @param from whence
     * @param bytes what it says
     */
    record Received(InetSocketAddress from, byte[] bytes) {}

    /** Waits for the next datagram. */
    static Received receive(DatagramChannel channel) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(MOST_BYTES);
        InetSocketAddress from = (InetSocketAddress) channel.receive(buffer);
        buffer.flip();
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return new Received(from, bytes);
    }
}
