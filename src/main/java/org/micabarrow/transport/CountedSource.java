package org.micabarrow.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.function.Supplier;
import org.micabarrow.memory.MessageMemory;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/** Has the bytes counted that are read from a connection in its turns, before anything else reads them. */
final class CountedSource extends AbstractStreamSourceConduit<StreamSourceConduit> {

    private final MessageBytes bytes;

    private CountedSource(StreamSourceConduit next, MessageBytes bytes) {
        super(next);
        this.bytes = Objects.requireNonNull(bytes, "bytes is null");
    }

    /** Counts the responses that come on a connection; nothing may have been read from it. */
    static MessageBytes countResponses(StreamConnection connection, String peer) {
        return count(connection, HeadLines.Kind.RESPONSE, () -> peer);
    }

    /** Counts the requests that come on a connection; nothing may have been read from it. */
    static MessageBytes countRequests(StreamConnection connection) {
        return count(connection, HeadLines.Kind.REQUEST, () -> String.valueOf(connection.getPeerAddress()));
    }

    private static MessageBytes count(StreamConnection connection, HeadLines.Kind kind, Supplier<String> peer) {
        MessageBytes bytes = new MessageBytes(kind, MessageMemory.ofProcess(), connection.getIoThread(), peer);
        ConduitStreamSourceChannel source = connection.getSourceChannel();
        source.setConduit(new CountedSource(FairSource.of(source), bytes));
        return bytes;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        int start = target.position();
        int count = super.read(target);
        bytes.received(target.duplicate().flip().position(start));
        return count;
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        for (int i = offset; i < offset + length; i++) {
            if (targets[i].hasRemaining()) {
                return read(targets[i]);
            }
        }
        return 0;
    }
}
