package org.micabarrow.crashes;

import java.util.Objects;
import java.util.Set;

/** How strongly a request is suspected of causing the endpoint crashes in which it, or a part of its prompt, was involved. */
public sealed interface SuspicionLevel {

    /** The request was involved in no crash, or has been answered since, and so have the parts of its prompt. */
    record Unsuspected() implements SuspicionLevel {}

    /**
     * The request holds a cause that was involved in crashes and may have caused them.
     *
     * @param cause the most suspected cause
     * @param crashes the number of its crashes
     * @param untilReportedMillis the time until all processes know of the last of them, in milliseconds; 0 if they do
     */
    record Suspected(Cause cause, int crashes, long untilReportedMillis) implements SuspicionLevel {

        /** Checks the cause. */
        public Suspected {
            Objects.requireNonNull(cause, "cause is null");
        }
    }

    /**
     * The request holds a poison cause.
     *
     * @param causes the cause, or those of which one is
     * @param crashes the number of crashes attributed to it
     * @param forMillis how long it is refused from now on, in milliseconds
     */
    record Refused(Set<Cause> causes, int crashes, long forMillis) implements SuspicionLevel {

        /** Copies the causes. */
        public Refused {
            causes = Set.copyOf(causes);
        }
    }
}
