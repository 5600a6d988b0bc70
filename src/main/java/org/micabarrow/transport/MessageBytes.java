package org.micabarrow.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.micabarrow.memory.MessageMemory;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts what the messages that come on one connection consist of besides their bodies: heads, interim responses, chunk headers
 * and trailers. Undertow's client keeps these in memory for as long as they come, in which a field of five bytes becomes some
 * hundred; its server bounds heads only, each for itself. Messages that exceed a bound are not read on, nor are those whose head,
 * chunks or trailer do not keep to the grammar, of which Undertow would make something else. Used on the thread of the connection,
 * except for {@link #refusal}, {@link #surplus} and {@link #end}.
 */
final class MessageBytes {

    /** The longest head, interim responses included, and the longest trailer, in bytes: four times that of a request. */
    static final int MAX_BYTES = 64 * 1024;

    /** The most fields of a head or trailer: five times as many as Undertow's server takes. */
    static final int MAX_FIELDS = 1_000;

    /** The most bytes of chunk headers besides those that the data allows for, in bytes. */
    private static final long MAX_CHUNK_HEADER_BYTES = 256 * 1024;

    /** How many bytes of chunk headers each byte of data may come with: a chunk of a single byte has about six. */
    private static final long CHUNK_HEADER_BYTES_PER_BYTE = 16;

    private static final String MALFORMED_HEAD = "a head is malformed: ";
    private static final String MALFORMED_BODY = "a chunked body is malformed: ";

    private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);
    private static final Logger LOG = LoggerFactory.getLogger(MessageBytes.class);

    private final HeadLines.Kind kind;
    private final HeadLines head;
    private final ChunkFraming chunks = new ChunkFraming(new HeadLines(HeadLines.Kind.TRAILER));
    private final Supplier<String> peer;
    private final Executor thread;
    private final MessageMemory.Share share;
    private volatile Runnable close = () -> {};
    private volatile Optional<String> refusal = Optional.empty();
    private volatile Part part = Part.NONE;

    private volatile boolean surplus;

    /** How much of a body is still to come that is not in chunks, in bytes. */
    private long bodyLeft;

    /** What came after the end of a head, until it is known to be the body's. */
    private ByteBuffer following = NOTHING;

    private enum Part {
        NONE,
        HEAD,
        CHUNKS,
        BODY
    }

    /**
     * Starts counting for a connection.
     *
     * @param kind the kind of heads that come
     * @param memory counts what all messages take up
     * @param thread the connection's thread
     * @param peer tells the address of the other end
     */
    MessageBytes(HeadLines.Kind kind, MessageMemory memory, Executor thread, Supplier<String> peer) {
        this.kind = Objects.requireNonNull(kind, "kind is null");
        this.head = new HeadLines(kind);
        this.thread = Objects.requireNonNull(thread, "thread is null");
        this.peer = Objects.requireNonNull(peer, "peer is null");
        this.share = memory.share(this::onNoRoom);
    }

    /** Why the connection is closed, if it is for what came on it. */
    Optional<String> refusal() {
        return refusal;
    }

    // -- messages

    /**
     * Counts what comes from now on as the head of a message.
     *
     * @param onRefused closes the connection if the message is refused while nothing of it is being read
     */
    void begin(Runnable onRefused) {
        close = Objects.requireNonNull(onRefused, "onRefused is null");
        head.clear();
        chunks.clear();
        following = NOTHING;
        part = Part.HEAD;
    }

    /**
     * Counts what follows the head as its body; the head, or what came together with it, may be refused already.
     *
     * @param chunked whether the body comes in chunks
     */
    void headRead(boolean chunked) {
        share.read(head.memoryBytes());
        part = chunked ? Part.CHUNKS : Part.BODY;
        bodyLeft = head.bodyLength().orElse(Long.MAX_VALUE);
        head.fault().ifPresent(fault -> markRefused(MALFORMED_HEAD + fault));
        if (chunked) {
            chunks.scan(following);
            chunks.fault().ifPresent(fault -> markRefused(MALFORMED_BODY + fault));
        }
        countSurplus(following);
        following = NOTHING;
    }

    /** Whether bytes came that belong to no message, so that the connection cannot be used for another. */
    boolean surplus() {
        return surplus;
    }

    private void countSurplus(ByteBuffer bytes) {
        if (part == Part.BODY) {
            bodyLeft -= bytes.remaining();
            surplus |= bodyLeft < 0;
        } else {
            surplus |= bytes.hasRemaining();
        }
    }

    /** Counts nothing any longer: the exchange has ended. */
    void end() {
        part = Part.NONE;
        share.release();
    }

    // -- bytes

    /**
     * Counts bytes that came.
     *
     * @param bytes the bytes, none if there are no more for now
     * @throws IOException if they belong to a message that is not to be read on
     */
    void received(ByteBuffer bytes) throws IOException {
        if (refusal.isPresent()) {
            throw new IOException(refusal.get());
        }
        switch (part) {
            case HEAD -> receivedInHead(bytes);
            case CHUNKS -> receivedInChunks(bytes);
            case NONE, BODY -> countSurplus(bytes);
        }
    }

    private void receivedInHead(ByteBuffer bytes) throws IOException {
        while (following.hasRemaining()) {
            // It is no body, or its head would have been taken by now.
            head.scan(following);
        }
        head.scan(bytes);
        following = bytes.hasRemaining() ? copy(bytes) : NOTHING;
        check("head", head);
        if (kind == HeadLines.Kind.RESPONSE && head.fault().isPresent()) {
            // A request is refused when its head has been read, so that its client gets an answer.
            refuse(MALFORMED_HEAD + head.fault().get());
        }
        take(head.memoryBytes());
    }

    private void receivedInChunks(ByteBuffer bytes) throws IOException {
        chunks.scan(bytes);
        if (chunks.fault().isPresent()) {
            refuse(MALFORMED_BODY + chunks.fault().get());
        }
        if (chunks.overhead() > MAX_CHUNK_HEADER_BYTES + CHUNK_HEADER_BYTES_PER_BYTE * chunks.data()) {
            refuse("chunk headers of " + chunks.overhead() + " bytes came with " + chunks.data() + " bytes of data");
        }
        HeadLines trailer = chunks.trailer();
        if (trailer.bytes() > 0) {
            check("trailer", trailer);
            take(head.memoryBytes() + trailer.memoryBytes());
        }
        countSurplus(bytes);
    }

    private static ByteBuffer copy(ByteBuffer bytes) {
        return ByteBuffer.allocate(bytes.remaining()).put(bytes).flip();
    }

    // -- refusals

    private void check(String what, HeadLines lines) throws IOException {
        if (lines.bytes() > MAX_BYTES || lines.fields() > MAX_FIELDS) {
            refuse("a " + what + " of more than " + (lines.bytes() - 1) + " bytes and " + lines.fields() + " fields");
        }
    }

    private void take(long memoryBytes) throws IOException {
        if (!share.reading(memoryBytes)) {
            throw new IOException(refusal.orElse("no memory is left for its message"));
        }
    }

    private void refuse(String reason) throws IOException {
        markRefused(reason);
        throw new IOException(reason);
    }

    private void markRefused(String reason) {
        refusal = Optional.of(reason);
        log(reason);
        end();
    }

    /** Called by whichever thread needs the memory. */
    private void onNoRoom() {
        String reason =
                "no memory is left for a message of " + head.bytes() + " bytes and " + head.fields() + " fields";
        refusal = Optional.of(reason);
        log(reason);
        thread.execute(close);
    }

    private void log(String reason) {
        LOG.warn("event=message_refused peer={} action=closed why=\"{}\"", peer.get(), reason);
    }
}
