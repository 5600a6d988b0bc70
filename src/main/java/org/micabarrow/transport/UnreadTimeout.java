package org.micabarrow.transport;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.conduits.StreamSinkConduit;

/**
 * Closes a connection whose client takes nothing of an answer for too long, so that it keeps neither the answer nor its place. While
 * nothing waits to be written, as between the events of a stream, no time counts.
 */
final class UnreadTimeout extends FinalWriteSink {

    private static final Logger LOG = LoggerFactory.getLogger(UnreadTimeout.class);

    private final HttpServerExchange exchange;
    private final int timeoutMillis;
    private boolean waiting;
    private boolean scheduled;
    private long takenBytes;

    private UnreadTimeout(StreamSinkConduit next, HttpServerExchange exchange, int timeoutMillis) {
        super(next);
        this.exchange = exchange;
        this.timeoutMillis = timeoutMillis;
    }

    /** Has the answer of an exchange taken in time; nothing of it may have been written. */
    static void of(HttpServerExchange exchange, int timeoutMillis) {
        exchange.addResponseWrapper((factory, same) -> new UnreadTimeout(factory.create(), exchange, timeoutMillis));
    }

    // -- writes

    @Override
    public int write(ByteBuffer source) throws IOException {
        int count = super.write(source);
        onWritten(count, source.hasRemaining());
        return count;
    }

    @Override
    public long write(ByteBuffer[] sources, int offset, int length) throws IOException {
        long count = super.write(sources, offset, length);
        onWritten(count, sources[offset + length - 1].hasRemaining());
        return count;
    }

    @Override
    public boolean flush() throws IOException {
        boolean flushed = super.flush();
        onWritten(0, !flushed);
        return flushed;
    }

    private void onWritten(long count, boolean left) {
        takenBytes += Math.max(0, count);
        waiting = left;
        if (left && !scheduled) {
            schedule();
        }
    }

    // -- time

    private void schedule() {
        scheduled = true;
        long before = takenBytes;
        exchange.getIoThread().executeAfter(() -> check(before), timeoutMillis, TimeUnit.MILLISECONDS);
    }

    private void check(long beforeBytes) {
        scheduled = false;
        if (!waiting || exchange.isResponseComplete()) {
            return;
        }
        if (takenBytes > beforeBytes) {
            schedule();
        } else {
            LOG.info("event=answer_not_taken path={} takenBytes={}", exchange.getRequestPath(), takenBytes);
            IoUtils.safeClose(exchange.getConnection());
        }
    }
}
