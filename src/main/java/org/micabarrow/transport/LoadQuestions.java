package org.micabarrow.transport;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * The numbers of the questions that an entry asks agents: when each was asked, and what waits for its answer. Used by the
 * thread for traffic alone.
 */
final class LoadQuestions {

    /**
     * Of how many questions it is remembered when they were asked: an answer to one before tells nothing. A few seconds'
     * worth if one is asked for each of a few hundred requests a second.
     */
    private static final int QUESTIONS_KEPT = 1_024;

    /**
     * How long an agent may take to answer a question on which a request waits, in milliseconds: the way to another region
     * and back, behind two or three chunks of weights in its instance's link.
     */
    private static final long ANSWER_MILLIS = 150;

    private final XnioIoThread traffic;
    private final LongSupplier steadyMillis;
    private final long[] askedMillis = new long[QUESTIONS_KEPT];
    private final Map<Integer, Waiting> waiting = new HashMap<>();
    private int count;

    /** What waits for the answer to a question. */
    private record Waiting(Consumer<Boolean> then, XnioExecutor.Key timer) {}

    /**
     * Begins with no question.
     *
     * @param traffic the thread for traffic
     * @param steadyMillis a clock that never steps, in milliseconds
     */
    LoadQuestions(XnioIoThread traffic, LongSupplier steadyMillis) {
        this.traffic = traffic;
        this.steadyMillis = steadyMillis;
    }

    /** The number of the next question, which counts as asked now. */
    int next() {
        int number = count;
        count++;
        askedMillis[number % QUESTIONS_KEPT] = steadyMillis.getAsLong();
        return number;
    }

    /** Tells {@code then} once whether the answer to a question came in time. */
    void await(int number, Consumer<Boolean> then) {
        XnioExecutor.Key timer =
                traffic.executeAfter(() -> settle(number, false), ANSWER_MILLIS, TimeUnit.MILLISECONDS);
        waiting.put(number, new Waiting(then, timer));
    }

    /** When a question was asked; empty if it was asked too long ago, or never. */
    OptionalLong askedMillis(int number) {
        boolean kept = number >= 0 && number < count && number >= count - QUESTIONS_KEPT;
        return kept ? OptionalLong.of(askedMillis[number % QUESTIONS_KEPT]) : OptionalLong.empty();
    }

    /**
     * Takes note that a question was answered. Whether in time is told by the clock: a process that stood still reads the answer
     * before it looks at its timers.
     */
    void answered(int number) {
        long latest = steadyMillis.getAsLong() - ANSWER_MILLIS;
        settle(number, askedMillis(number).orElse(Long.MIN_VALUE) >= latest);
    }

    private void settle(int number, boolean inTime) {
        Waiting one = waiting.remove(number);
        if (one != null) {
            one.timer().remove();
            one.then().accept(inTime);
        }
    }
}
