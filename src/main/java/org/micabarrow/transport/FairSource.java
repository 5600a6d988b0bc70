package org.micabarrow.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Bounds what is read from a connection in one turn of its thread. A peer that always has bytes ready would otherwise keep the
 * thread from all other connections and from its timers: a reader goes on while there is something to read, and a thread runs its
 * tasks, those included that tasks add, before its timers and its selector.
 *
 * <p>At the end of a turn the connection seems to have nothing more. Its reader waits until the selector reports it again, which
 * happens once all others have had theirs. Bytes that a reader keeps above the connection are not held back.
 */
final class FairSource extends AbstractStreamSourceConduit<StreamSourceConduit> {

    /**
     * What ends a turn, in bytes: a buffer. Larger turns pass large bodies on hardly faster, and in small chunks they take the thread
     * for long.
     */
    static final int TURN_BYTES = 16 * 1024;

    private int left = TURN_BYTES;
    private ReadReadyHandler reader;

    private FairSource(StreamSourceConduit next, ReadReadyHandler reader) {
        super(next);
        setReadReadyHandler(reader);
    }

    /** Bounds the turns of a connection from whose source nothing has been read. */
    static FairSource of(ConduitStreamSourceChannel source) {
        return new FairSource(source.getConduit(), new ReadReadyHandler.ChannelListenerHandler<>(source));
    }

    private void beginTurn() {
        left = TURN_BYTES;
    }

    // -- reads

    @Override
    public int read(ByteBuffer target) throws IOException {
        if (left <= 0) {
            return 0;
        }
        int count = super.read(target);
        left -= Math.max(0, count);
        return count;
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        if (left <= 0) {
            return 0;
        }
        long count = super.read(targets, offset, length);
        left -= (int) Math.clamp(count, 0, TURN_BYTES);
        return count;
    }

    // -- turns

    @Override
    public void setReadReadyHandler(ReadReadyHandler handler) {
        reader = handler;
        super.setReadReadyHandler(new ReadReadyHandler() {
            @Override
            public void readReady() {
                beginTurn();
                handler.readReady();
            }

            @Override
            public void forceTermination() {
                handler.forceTermination();
            }

            @Override
            public void terminated() {
                handler.terminated();
            }
        });
    }

    /** Has the reader called although nothing may have come; its turn does not begin anew, since no other had one. */
    @Override
    public void wakeupReads() {
        resumeReads();
        getReadThread().execute(reader::readReady);
    }

    @Override
    public void awaitReadable() throws IOException {
        super.awaitReadable();
        beginTurn();
    }

    @Override
    public void awaitReadable(long time, TimeUnit unit) throws IOException {
        super.awaitReadable(time, unit);
        beginTurn();
    }
}
