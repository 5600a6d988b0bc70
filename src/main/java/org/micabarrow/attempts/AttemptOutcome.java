package org.micabarrow.attempts;

/** How one sending of a request to an endpoint ended without an answer that may be passed on. */
public enum AttemptOutcome {
    /** No byte was sent, or the endpoint stated that it did not run the request. */
    NOT_RUN,
    /** The endpoint is another one than was meant, or holds another weight version; it did not run the request. */
    MISDIRECTED,
    /** The request was sent, and whether it ran is not known. */
    UNKNOWN,
    /** The endpoint ran the request and answered with an error of its own. */
    FAILED;

    /**
     * Whether the request has surely not run.
     *
     * @return true if it may be sent again whatever its kind
     */
    public boolean surelyNotRun() {
        return this == NOT_RUN || this == MISDIRECTED;
    }
}
