package org.micabarrow.state;

import java.util.Objects;

/**
 * What went wrong, at which step, and with which peer.
 *
 * <pre>{@code
 * Fault.of(Step.PLAN, "intent.jsonc", Reason.INVALID, "unknown hall \"norte-z\"");
 * }</pre>
 *
 * @param step the step of the work that failed
 * @param peer the instance, file or service with which it failed
 * @param reason the kind of failure, on which callers decide
 * @param message a sentence for a person
 */
public record Fault(Step step, String peer, Reason reason, String message) {

    /** Checks that every part is present. */
    public Fault {
        Objects.requireNonNull(step, "step is null");
        Objects.requireNonNull(peer, "peer is null");
        Objects.requireNonNull(reason, "reason is null");
        Objects.requireNonNull(message, "message is null");
    }

    /** The steps at which work can fail. */
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

    /** The kinds of failure. */
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
     * Makes a fault.
     *
     * @param step the step that failed
     * @param peer the peer at which it failed
     * @param reason the kind of failure
     * @param message a sentence for a person
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
