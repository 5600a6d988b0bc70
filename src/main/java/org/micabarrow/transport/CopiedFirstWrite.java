package org.micabarrow.transport;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.StreamSinkConduit;

/**
 * Writes a copy of the first bytes of an answer. Undertow writes them together with the head, and keeps the buffer that it was given
 * until the next answer on the connection: a connection at rest would keep all of its last answer in memory.
 */
final class CopiedFirstWrite extends FinalWriteSink {

    /** The most bytes of an answer that are written together with its head. */
    private static final int MAX_FIRST_BYTES = 4 * 1024;

    private boolean begun;

    private CopiedFirstWrite(StreamSinkConduit next) {
        super(next);
    }

    /** Has the answer of an exchange written this way; nothing of it may have been written. */
    static void of(HttpServerExchange exchange) {
        exchange.addResponseWrapper((factory, same) -> new CopiedFirstWrite(factory.create()));
    }

    @Override
    public int write(ByteBuffer source) throws IOException {
        if (begun) {
            return super.write(source);
        }
        ByteBuffer first = ByteBuffer.allocate(Math.min(source.remaining(), MAX_FIRST_BYTES));
        first.put(source.duplicate().limit(source.position() + first.capacity()))
                .flip();
        int count = super.write(first);
        source.position(source.position() + Math.max(0, count));
        begun = count > 0;
        return count;
    }

    @Override
    public long write(ByteBuffer[] sources, int offset, int length) throws IOException {
        if (begun) {
            return super.write(sources, offset, length);
        }
        for (int i = offset; i < offset + length; i++) {
            if (sources[i].hasRemaining()) {
                return write(sources[i]);
            }
        }
        return 0;
    }
}
