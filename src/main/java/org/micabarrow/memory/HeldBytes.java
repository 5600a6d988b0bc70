package org.micabarrow.memory;

import java.util.Collections;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts the bytes that a process holds for its clients: request bodies, and answers that clients have not taken yet. Before an
 * answer exceeds the limit, the one that holds most is cut. Answers are counted by the traffic thread only, each body by one
 * thread at a time; {@link #bytes} may be read by any thread.
 *
 * <pre>{@code
 * HeldBytes.Hold answer = held.holdAnswer(() -> closeConnection());
 * answer.set(4_096);
 * answer.release();
 * }</pre>
 */
public final class HeldBytes {

    private static final Runnable NEVER_CUT = () -> {};

    private final long limitBytes;
    private final AtomicLong total = new AtomicLong();
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
     * Starts counting an answer.
     *
     * @param cut ends the answer; called when the limit is exceeded and no other answer holds more, also while this answer's own
     *     count is being set
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
        private long bytes;
        private boolean released;

        private Hold(Runnable cut) {
            this.cut = cut;
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
            if (released) {
                return;
            }
            boolean answer = cut != NEVER_CUT;
            if (answer && now > bytes && !makeRoom(this, now)) {
                return;
            }
            total.addAndGet(now - bytes);
            bytes = now;
            if (answer && now > 0) {
                answers.add(this);
            } else if (answer) {
                answers.remove(this);
            }
        }

        /** Ends the count; repeated calls have no effect. */
        public void release() {
            set(0);
            released = true;
        }
    }
}
