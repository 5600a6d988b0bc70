package org.micabarrow.coordination.calls;

import java.time.Duration;
import java.util.Objects;
import org.micabarrow.state.Fault;

/** How a request ended. */
public sealed interface Outcome {

    /**
     * The complete response was delivered.
     *
     * @return the outcome
     */
    static Outcome answered() {
        return new Answered();
    }

    /**
     * The request definitely did not run. This is final and reported immediately.
     *
     * @param fault the reason
     * @param retryAfter the delay after which the caller may retry
     * @return the outcome
     */
    static Outcome notRun(Fault fault, Duration retryAfter) {
        return new NotRun(fault, retryAfter);
    }

    /**
     * It is unknown whether the request ran, or ran to completion.
     *
     * @param fault the reason
     * @return the outcome
     */
    static Outcome unknown(Fault fault) {
        return new Unknown(fault);
    }

    /** The complete response was delivered. */
    record Answered() implements Outcome {}

    /**
     * The request definitely did not run.
     *
     * @param fault the reason
     * @param retryAfter the delay after which the caller may retry
     */
    record NotRun(Fault fault, Duration retryAfter) implements Outcome {

        /** Validates the components. */
        public NotRun {
            Objects.requireNonNull(fault, "fault is null");
            Objects.requireNonNull(retryAfter, "retryAfter is null");
        }
    }

    /**
     * It is unknown whether the request ran.
     *
     * @param fault the reason
     */
    record Unknown(Fault fault) implements Outcome {

        /** Validates the components. */
        public Unknown {
            Objects.requireNonNull(fault, "fault is null");
        }
    }
}
