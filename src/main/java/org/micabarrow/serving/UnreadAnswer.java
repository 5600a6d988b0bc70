package org.micabarrow.serving;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.micabarrow.memory.HeldBytes;
import org.micabarrow.memory.UnreadBound;

/** The parts of an answer that its client has not taken yet, in order. Used by the traffic thread. */
final class UnreadAnswer {

    /** What a queued part costs besides its bytes: the headers of its array and buffer and its place in the queue. */
    private static final int PART_OVERHEAD_BYTES = 80;

    private final HttpServerExchange exchange;
    private final HeldBytes.Hold held;
    private final Events events;
    private final Queue<byte[]> queue = new ArrayDeque<>();
    private ByteBuffer writing = ByteBuffer.allocate(0);
    private boolean inWrite;
    private boolean ended;
    private boolean closed;
    private long queuedBytes;
    private Optional<Runnable> paused = Optional.empty();
    private int pauses;

    /** What an answer tells its owner. */
    interface Events {

        /** The client has taken all of an answer that has ended. */
        void onTaken();

        /** The client has disconnected. */
        void onDisconnected();

        /** The client has fallen too far behind. */
        void onTooSlow();
    }

    UnreadAnswer(HttpServerExchange exchange, HeldBytes.Hold held, Events events) {
        this.exchange = exchange;
        this.held = held;
        this.events = events;
    }

    /** What the client has not taken, in bytes. */
    long bytes() {
        return queuedBytes + writing.remaining();
    }

    /** Appends a part; {@code more} runs when the next one may be read from the endpoint. */
    void append(byte[] part, Runnable more) {
        enqueue(part);
        if (closed) {
            return;
        }
        if (UnreadBound.next(bytes(), 0) == UnreadBound.Step.READ_ON) {
            more.run();
        } else {
            paused = Optional.of(more);
            int pause = ++pauses;
            exchange.getIoThread()
                    .executeAfter(() -> checkPause(pause), UnreadBound.MAX_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Appends the last part. */
    void end(byte[] part) {
        ended = true;
        enqueue(part);
        if (!inWrite) {
            writeNext();
        }
    }

    /** Forgets everything that has not been written. */
    void close() {
        closed = true;
        queue.clear();
        queuedBytes = 0;
        paused = Optional.empty();
        held.release();
    }

    private void enqueue(byte[] part) {
        if (closed || part.length == 0) {
            return;
        }
        queue.add(part);
        queuedBytes += part.length;
        count();
        // Counting may have closed this answer.
        if (!closed && !inWrite) {
            writeNext();
        }
    }

    private void count() {
        held.set(queuedBytes + writing.capacity() + (long) PART_OVERHEAD_BYTES * queue.size());
    }

    private void writeNext() {
        byte[] part = queue.poll();
        if (part == null) {
            writing = ByteBuffer.allocate(0);
            count();
            if (ended && !closed) {
                closed = true;
                events.onTaken();
            }
            return;
        }
        queuedBytes -= part.length;
        writing = ByteBuffer.wrap(part);
        count();
        inWrite = true;
        exchange.getResponseSender().send(writing, new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange same, Sender sender) {
                onWritten();
            }

            @Override
            public void onException(HttpServerExchange same, Sender sender, IOException e) {
                inWrite = false;
                if (!closed) {
                    events.onDisconnected();
                }
            }
        });
    }

    private void onWritten() {
        inWrite = false;
        if (closed) {
            return;
        }
        writeNext();
        if (!closed && UnreadBound.next(bytes(), 0) == UnreadBound.Step.READ_ON) {
            readOn();
        }
    }

    private void readOn() {
        Optional<Runnable> more = paused;
        paused = Optional.empty();
        more.ifPresent(Runnable::run);
    }

    private void checkPause(int pause) {
        if (closed || paused.isEmpty() || pause != pauses) {
            return;
        }
        if (UnreadBound.next(bytes(), UnreadBound.MAX_PAUSE_MILLIS) == UnreadBound.Step.READ_ON) {
            readOn();
        } else {
            events.onTooSlow();
        }
    }
}
