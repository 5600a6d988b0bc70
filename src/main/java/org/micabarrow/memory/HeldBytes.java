package org.micabarrow.memory;

import java.util.Collections;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts the bytes that a process holds: request bodies, answers that clients have not taken yet, and answers that it collects.
 * Before an answer exceeds the limit, the one that holds most is cut. Thread-safe.
 *
 * <pre>{@code
 * HeldBytes.Hold answer = held.holdAnswer(() -> closeConnection());
 * answer.set(4_096);
 * answer.release();
 * }</pre>
 */
public final class HeldBytes {

    private static final Runnable NEVER_CUT = () -> {};

    /** The part of the heap for records, as a divisor: the longest manifest takes up some 22 MB while it is read. */
    private static final double RECORDS_DIVISOR = 2.25;

    /** The part of the heap for what is collected besides, as a divisor: chunks, lists of digests, reports. */
    private static final long OTHERS_DIVISOR = 8;

    private static final HeldBytes RECORDS =
            new HeldBytes((long) (Runtime.getRuntime().maxMemory() / RECORDS_DIVISOR));

    private static final HeldBytes OTHERS = new HeldBytes(Runtime.getRuntime().maxMemory() / OTHERS_DIVISOR);

    /** The part of the limit, as a divisor, for requests that are read before their time: it leaves room for bodies. */
    private static final long AHEAD_DIVISOR = 4;

    private final long limitBytes;
    private final AtomicLong total = new AtomicLong();
    private final AtomicLong ahead = new AtomicLong();
    private final Set<Hold> answers = Collections.newSetFromMap(new IdentityHashMap<>());

    /**
     * Creates a count of nothing.
     *
     * @param limitBytes how much may be held
     */
    public HeldBytes(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * The count of the records that this process reads from the store and from peers.
     *
     * @return the count
     */
    public static HeldBytes ofRecords() {
        return RECORDS;
    }

    /**
     * The count of everything else that this process collects, which takes nothing of the room for records.
     *
     * @return the count
     */
    public static HeldBytes ofOthers() {
        return OTHERS;
    }

    /**
     * The limit.
     *
     * @return bytes
     */
    public long limitBytes() {
        return limitBytes;
    }

    /**
     * What is held now.
     *
     * @return bytes
     */
    public long bytes() {
        return total.get();
    }

    /**
     * Starts counting a request body, which is never cut.
     *
     * @return its count, zero at first
     */
    public Hold holdBody() {
        return new Hold(NEVER_CUT);
    }

    /**
     * Starts counting what is read of requests before the answer to an earlier one, which is never cut.
     *
     * @return its count, zero at first; {@link #hasRoomAhead} tells whether more may be read
     */
    public Hold holdAhead() {
        return new Hold(NEVER_CUT, ahead);
    }

    /**
     * Whether more may be read of requests before the answer to an earlier one.
     *
     * @return false if these hold a quarter of the limit, or all together the whole
     */
    public boolean hasRoomAhead() {
        return ahead.get() < limitBytes / AHEAD_DIVISOR && total.get() < limitBytes;
    }

    /**
     * Starts counting what an answer becomes while it is read.
     *
     * @return its count, zero at first; {@link Hold#complete} claims the room for it
     */
    public Hold holdComplete() {
        return new Hold(NEVER_CUT);
    }

    /**
     * Starts counting an answer.
     *
     * @param cut ends the answer; called when the limit is exceeded and no other answer holds more, also while this answer's own
     *     count is being set; by any thread that counts, so it must not block
     * @return its count, zero at first
     */
    public Hold holdAnswer(Runnable cut) {
        return new Hold(Objects.requireNonNull(cut, "cut is null"));
    }

    /** Cuts the answers that hold most until a growing one fits; false if it holds most itself and was cut. */
    private boolean makeRoom(Hold growing, long bytes) {
        while (total.get() - growing.bytes + bytes > limitBytes) {
            Hold largest = answers.stream()
                    .filter(answer -> answer != growing && answer.bytes > bytes)
                    .max(Comparator.comparingLong(Hold::bytes))
                    .orElse(growing);
            largest.release();
            largest.cut.run();
            if (largest == growing) {
                return false;
            }
        }
        return true;
    }

    /** The count of one request body or answer. */
    public final class Hold {

        private final Runnable cut;
        private final AtomicLong kind;
        private long bytes;
        private boolean released;

        private Hold(Runnable cut) {
            this(cut, new AtomicLong());
        }

        private Hold(Runnable cut, AtomicLong kind) {
            this.cut = cut;
            this.kind = kind;
        }

        /**
         * What is held.
         *
         * @return bytes
         */
        public long bytes() {
            return bytes;
        }

        /**
         * Sets what is held; without effect after {@link #release}.
         *
         * @param now bytes
         */
        public void set(long now) {
            synchronized (HeldBytes.this) {
                if (released) {
                    return;
                }
                boolean answer = cut != NEVER_CUT;
                if (answer && now > bytes && !makeRoom(this, now)) {
                    return;
                }
                change(now);
                if (answer && now > 0) {
                    answers.add(this);
                } else {
                    answers.remove(this);
                }
            }
        }

        /**
         * Sets what is held of an answer that has come to its end, and is not cut any longer. Others are cut for it, the one
         * that holds most first.
         *
         * @param now bytes
         * @return false if there is no room for it, or if it was cut or released before; nothing is held of it then
         */
        public boolean complete(long now) {
            synchronized (HeldBytes.this) {
                answers.remove(this);
                while (!released && total.get() - bytes + now > limitBytes) {
                    Hold largest = answers.stream()
                            .max(Comparator.comparingLong(Hold::bytes))
                            .orElse(this);
                    largest.release();
                    largest.cut.run();
                }
                if (!released) {
                    change(now);
                }
                return !released;
            }
        }

        private void change(long now) {
            total.addAndGet(now - bytes);
            kind.addAndGet(now - bytes);
            bytes = now;
        }

        /** Ends the count; repeated calls have no effect. */
        public void release() {
            synchronized (HeldBytes.this) {
                set(0);
                released = true;
            }
        }
    }
}
