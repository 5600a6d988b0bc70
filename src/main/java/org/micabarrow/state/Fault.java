package org.micabarrow.state;

import java.util.Objects;

/**
 * A failure: the step that failed, the peer involved, the kind of failure and a description.
 *
 * <pre>{@code
 * Fault.of(Step.PLAN, "intent.jsonc", Reason.INVALID, "unknown hall \"norte-z\"");
 * }</pre>
 *
 * @param step the step that failed
 * @param peer the instance, file or service involved
 * @param reason the kind of failure, by which callers decide how to handle it
 * @param message a description for people
 */
public record Fault(Step step, String peer, Reason reason, String message) {

    /** Rejects null values. */
    public Fault {
        Objects.requireNonNull(step, "step is null");
        Objects.requireNonNull(peer, "peer is null");
        Objects.requireNonNull(reason, "reason is null");
        Objects.requireNonNull(message, "message is null");
    }

    /** The step of the work that failed. */
    public enum Step {
        SETTINGS,
        INTENT,
        PLAN,
        CONFIRM,
        LOG,
        INSTANCES,
        AUTHENTICATE,
        READ,
        ROUTE,
        CLAIM,
        DISPATCH,
        START,
        RUN,
        ANSWER,
        FETCH,
        STAGE,
        ORDER,
        STATUS
    }

    /** The kind of failure. */
    public enum Reason {
        INVALID,
        UNAUTHORISED,
        NOT_FOUND,
        UNSATISFIABLE,
        CONFLICT,
        TOO_LARGE,
        OVERLOADED,
        NOT_READY,
        LEAVING,
        OUTSIDE_PLACEMENT,
        BEHIND,
        TOO_LATE,
        UNREACHABLE,
        TIMEOUT,
        CORRUPT,
        STALLED,
        GONE,
        CANCELLED,
        UNKNOWN
    }

    /**
     * Creates a fault.
     *
     * @param step the step that failed
     * @param peer the instance, file or service involved
     * @param reason the kind of failure
     * @param message a description for people
     * @return the fault
     */
    public static Fault of(Step step, String peer, Reason reason, String message) {
        return new Fault(step, peer, reason, message);
    }

    @Override
    public String toString() {
        return step.name().toLowerCase(java.util.Locale.ROOT) + " at " + peer + ": " + message;
    }
}
