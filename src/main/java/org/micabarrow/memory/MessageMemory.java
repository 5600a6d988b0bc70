package org.micabarrow.memory;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

/**
 * Counts what the heads and trailers of all messages that a process reads, or whose exchange goes on, take up in memory. When
 * they exceed the limit, messages are ended: first those that are not read to their end, the one begun earliest first, since a
 * sound one ends at once; then the largest of those read; then those of ordinary size that are not read to their end. One of
 * ordinary size that was read is never ended. Thread-safe.
 *
 * <pre>{@code
 * MessageMemory.Share share = memory.share(() -> closeConnection());
 * share.reading(12_000);
 * share.read(14_000);
 * share.release();
 * }</pre>
 */
public final class MessageMemory {

    /** Up to this size in memory a message that was read is never ended, in bytes: some thirty fields. */
    static final long ORDINARY_BYTES = 8 * 1024;

    /** The part of the heap, as a divisor: bodies and answers that wait take a third, and are copied. */
    private static final long HEAP_DIVISOR = 12;

    /** How much may be held, as a factor of the limit, together with messages that were ended and are not freed yet. */
    private static final long ENDED_FACTOR = 2;

    private static final MessageMemory OF_PROCESS =
            new MessageMemory(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);

    private final long limitBytes;
    private final AtomicLong total = new AtomicLong();
    private long notFreedBytes;
    private final Set<Share> unfinished = new LinkedHashSet<>();
    private final Set<Share> large = new LinkedHashSet<>();

    /**
     * Creates a count of nothing.
     *
     * @param limitBytes how much the messages may take up
     */
    public MessageMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * The count of this process, whose heap all its connections share.
     *
     * @return the count
     */
    public static MessageMemory ofProcess() {
        return OF_PROCESS;
    }

    /**
     * What is counted now.
     *
     * @return bytes
     */
    public long bytes() {
        return total.get();
    }

    /**
     * Starts the count of one connection, zero at first.
     *
     * @param end ends the connection; called by any thread, and must not block
     * @return the count
     */
    public Share share(Runnable end) {
        return new Share(Objects.requireNonNull(end, "end is null"));
    }

    /** What the message on one connection takes up. */
    public final class Share {

        private final Runnable end;
        private long bytes;
        private boolean ended;

        private Share(Runnable end) {
            this.end = end;
        }

        /**
         * Sets what a message takes up that is not read to its end.
         *
         * @param now bytes; with 0 nothing of it has come
         * @return false if it was ended to make room
         */
        public boolean reading(long now) {
            synchronized (MessageMemory.this) {
                if (!ended && now > 0) {
                    set(now);
                    large.remove(this);
                    unfinished.add(this);
                    makeRoom(this);
                }
                return !ended;
            }
        }

        /**
         * Sets what a message takes up that was read, until its exchange ends.
         *
         * @param now bytes
         */
        public void read(long now) {
            synchronized (MessageMemory.this) {
                if (!ended) {
                    set(now);
                    unfinished.remove(this);
                    if (now > ORDINARY_BYTES) {
                        large.add(this);
                    }
                }
            }
        }

        /** Sets the count to zero: the message is not in memory any longer. */
        public void release() {
            synchronized (MessageMemory.this) {
                if (ended) {
                    notFreedBytes -= bytes;
                    bytes = 0;
                } else {
                    set(0);
                }
                unfinished.remove(this);
                large.remove(this);
            }
        }

        private void set(long now) {
            total.addAndGet(now - bytes);
            bytes = now;
        }

        private void endNow() {
            unfinished.remove(this);
            large.remove(this);
            total.addAndGet(-bytes);
            notFreedBytes += bytes;
            ended = true;
            end.run();
        }
    }

    private void makeRoom(Share growing) {
        for (Optional<Share> next = nextToEnd(growing); next.isPresent(); next = nextToEnd(growing)) {
            next.get().endNow();
        }
        if (!growing.ended
                && growing.bytes > ORDINARY_BYTES
                && total.get() + notFreedBytes > ENDED_FACTOR * limitBytes) {
            growing.endNow();
        }
    }

    /** Those of ordinary size come last, and never the growing one: it may be a sound one that has just begun. */
    private Optional<Share> nextToEnd(Share growing) {
        if (total.get() <= limitBytes) {
            return Optional.empty();
        }
        return earliestUnfinished(share -> share.bytes > ORDINARY_BYTES)
                .or(() -> large.stream().max(Comparator.comparingLong(share -> share.bytes)))
                .or(() -> earliestUnfinished(share -> share != growing));
    }

    private Optional<Share> earliestUnfinished(Predicate<Share> condition) {
        return unfinished.stream().filter(condition).findFirst();
    }
}
