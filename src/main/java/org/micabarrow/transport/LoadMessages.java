package org.micabarrow.transport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import org.micabarrow.routing.EndpointLoad.Told;
import org.micabarrow.state.CanonicalJson;

/** The datagrams by which entries ask agents how their endpoints are. One that is lost is made up for by the next. */
final class LoadMessages {

    /** The greatest datagram, in bytes; they are well under a hundred. */
    private static final int MOST_BYTES = 512;

    private LoadMessages() {}

    /**
     * An entry's question, which tells what the entry itself has waiting there.
     *
     * @param entry the entry's name
     * @param promptTokens the prompt tokens of its requests whose answers have not begun
     */
    record Question(String entry, int promptTokens) {}

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

    static ByteBuffer write(Question question) {
        ObjectNode json = CanonicalJson.mapper().createObjectNode();
        json.put("e", question.entry());
        json.put("p", question.promptTokens());
        return ByteBuffer.wrap(CanonicalJson.write(json));
    }

    static Question question(byte[] bytes) throws IOException {
        JsonNode json = CanonicalJson.mapper().readTree(bytes);
        return new Question(json.path("e").asText(), json.path("p").asInt());
    }

    static ByteBuffer write(Told told) {
        ObjectNode json = CanonicalJson.mapper().createObjectNode();
        json.put("r", told.requests());
        json.put("p", told.othersPromptTokens());
        json.put("l", told.loading());
        json.put("v", told.version());
        return ByteBuffer.wrap(CanonicalJson.write(json));
    }

    static Told told(byte[] bytes) throws IOException {
        JsonNode json = CanonicalJson.mapper().readTree(bytes);
        return new Told(
                json.path("r").asInt(),
                json.path("p").asInt(),
                json.path("l").asBoolean(),
                json.path("v").asLong());
    }
}
