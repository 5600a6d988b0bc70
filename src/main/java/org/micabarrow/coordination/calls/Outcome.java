package org.micabarrow.coordination.calls;

import java.time.Duration;
import java.util.Objects;
import org.micabarrow.state.Fault;

/** How a request ended. */
public sealed interface Outcome {

    /**
     * The whole answer has been given.
     *
     * @return the outcome
     */
    static Outcome answered() {
        return new Answered();
    }

    /**
     * The request truly did not run. This is final and told at once.
     *
     * @param fault why
     * @param retryAfter when the caller may come back
     * @return the outcome
     */
    static Outcome notRun(Fault fault, Duration retryAfter) {
        return new NotRun(fault, retryAfter);
    }

    /**
     * Whether the request ran, or ran to its end, is not known.
     *
     * @param fault why
     * @return the outcome
     */
    static Outcome unknown(Fault fault) {
        return new Unknown(fault);
    }

    /** The whole answer has been given. */
    record Answered() implements Outcome {}

    /**
     * The request truly did not run.
     *
     * @param fault why
     * @param retryAfter when the caller may come back
     */
    record NotRun(Fault fault, Duration retryAfter) implements Outcome {

        /** Checks the parts. */
        public NotRun {
            Objects.requireNonNull(fault, "fault is null");
            Objects.requireNonNull(retryAfter, "retryAfter is null");
        }
    }

    /**
     * Whether the request ran is not known.
     *
     * @param fault why
     */
    record Unknown(Fault fault) implements Outcome {

        /** Checks the parts. */
        public Unknown {
            Objects.requireNonNull(fault, "fault is null");
        }
    }
}
