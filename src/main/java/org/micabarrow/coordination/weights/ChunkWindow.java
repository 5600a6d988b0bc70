package org.micabarrow.coordination.weights;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Result;

/**
 * The verified chunks that an agent holds in memory and passes on. The window is bounded: the receiver waits for its
 * readers before it lets the oldest chunk go, but only for so long as they make progress.
 *
 * <p>Safe for any number of threads.
 *
 * <pre>{@code
 * window.add(chunk);
 * Result<byte[]> next = window.read("hall-a-2", 0, Duration.ofSeconds(1));
 * }</pre>
 */
public final class ChunkWindow {

    private final int capacity;
    private final int total;
    private final long patienceMillis;
    private final ArrayDeque<byte[]> chunks = new ArrayDeque<>();
    private final Map<String, Integer> readers = new HashMap<>();
    private int base;
    private boolean closed;

    /**
     * Makes an empty window.
     *
     * @param capacity how many chunks it holds
     * @param total how many chunks there are in all
     * @param patience how long it waits for a reader that makes no progress
     */
    public ChunkWindow(int capacity, int total, Duration patience) {
        if (capacity < 1) {
            throw new IllegalArgumentException("a window holds at least one chunk");
        }
        this.capacity = capacity;
        this.total = total;
        this.patienceMillis =
                Objects.requireNonNull(patience, "patience is null").toMillis();
    }

    // -- writing

    /**
     * Names a reader that is likely to come, for which the window waits as if it had come.
     *
     * @param reader the reader
     */
    public synchronized void expect(String reader) {
        if (!readers.containsKey(reader) && base == 0) {
            readers.put(reader, 0);
        }
    }

    /**
     * Tells that an expected reader has come; from now on its streams count, each for itself.
     *
     * @param reader the reader
     */
    public synchronized void arrived(String reader) {
        readers.remove(reader);
    }

    /**
     * Adds the next chunk, and waits while the window is full and its readers make progress.
     *
     * @param chunk the verified bytes
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public synchronized void add(byte[] chunk) throws InterruptedException {
        Objects.requireNonNull(chunk, "chunk is null");
        while (!closed && chunks.size() >= capacity && !makeRoom()) {
            dropIdleReaders();
        }
        if (!closed) {
            chunks.addLast(chunk);
            notifyAll();
        }
    }

    private boolean makeRoom() {
        boolean wanted = readers.values().stream().anyMatch(position -> position <= base);
        if (wanted) {
            return false;
        }
        chunks.removeFirst();
        base++;
        return true;
    }

    /** Waits for progress; readers at the oldest chunk that make none are dropped and must go elsewhere. */
    private void dropIdleReaders() throws InterruptedException {
        int before = progress();
        long end = System.nanoTime() + patienceMillis * 1_000_000;
        long left = patienceMillis;
        while (left > 0 && !closed && progress() == before) {
            wait(left);
            left = (end - System.nanoTime()) / 1_000_000;
        }
        if (!closed && progress() == before) {
            readers.values().removeIf(position -> position <= base);
        }
    }

    private int progress() {
        return readers.values().stream().mapToInt(Integer::intValue).sum() + 31 * readers.size();
    }

    // -- reading

    /**
     * Reads a chunk, and waits for it if it has not come yet.
     *
     * @param reader who reads
     * @param index the chunk's place
     * @param wait how long to wait
     * @return the chunk, empty when the wait is over; a failure of reason {@code GONE} if it has left the window
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public synchronized Result<Optional<byte[]>> read(String reader, int index, Duration wait)
            throws InterruptedException {
        if (index < base) {
            return gone(reader, "chunk " + index + " has left the window; the oldest is " + base);
        }
        readers.put(reader, index);
        notifyAll();
        long end = System.nanoTime() + wait.toNanos();
        long left = wait.toMillis();
        while (!closed && index >= base + chunks.size() && left > 0) {
            wait(left);
            left = (end - System.nanoTime()) / 1_000_000;
        }
        if (closed) {
            return gone(reader, "the transfer has ended");
        }
        if (index < base) {
            return gone(reader, "chunk " + index + " has left the window while it was waited for");
        }
        if (index >= base + chunks.size()) {
            return Result.success(Optional.empty());
        }
        return Result.success(Optional.of(at(index - base)));
    }

    private byte[] at(int position) {
        int i = 0;
        for (byte[] chunk : chunks) {
            if (i++ == position) {
                return chunk;
            }
        }
        throw new IllegalStateException("no chunk at " + position);
    }

    private static <T> Result<T> gone(String reader, String why) {
        return Result.failure(Fault.of(Fault.Step.FETCH, reader, Reason.GONE, why));
    }

    /**
     * Tells that a reader needs nothing more, or has gone.
     *
     * @param reader the reader
     */
    public synchronized void leave(String reader) {
        readers.remove(reader);
        notifyAll();
    }

    /**
     * The number of chunks in all.
     *
     * @return the total
     */
    public int total() {
        return total;
    }

    /**
     * The index after the newest chunk.
     *
     * @return how many chunks have been added
     */
    public synchronized int next() {
        return base + chunks.size();
    }

    /**
     * The oldest chunk held.
     *
     * @return its index
     */
    public synchronized int oldest() {
        return base;
    }

    /** Frees all chunks and ends all readers. */
    public synchronized void close() {
        closed = true;
        chunks.clear();
        notifyAll();
    }
}
