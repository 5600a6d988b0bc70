package org.micabarrow.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSinkConduit;

/** Writes the last bytes of an answer as any others and ends it afterwards, so that a subclass sees all bytes in one way. */
abstract class FinalWriteSink extends AbstractStreamSinkConduit<StreamSinkConduit> {

    FinalWriteSink(StreamSinkConduit next) {
        super(next);
    }

    @Override
    public final int writeFinal(ByteBuffer source) throws IOException {
        return Conduits.writeFinalBasic(this, source);
    }

    @Override
    public final long writeFinal(ByteBuffer[] sources, int offset, int length) throws IOException {
        return Conduits.writeFinalBasic(this, sources, offset, length);
    }
}
