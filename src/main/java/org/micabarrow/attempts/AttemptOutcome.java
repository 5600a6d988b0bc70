package org.micabarrow.attempts;

/** How an attempt ended that gave no response to pass on. */
public enum AttemptOutcome {
    /** No byte was sent, or the endpoint stated that it did not run the request. */
    NOT_RUN,
    /**
     * Another endpoint than intended was reached, or the endpoint holds another weight version; the request was not
     * run.
     */
    MISDIRECTED,
    /** The request was sent, and it is unknown whether it ran. */
    UNKNOWN,
    /** The endpoint ran the request and responded with an error of its own. */
    FAILED;

    /**
     * Returns whether the request has certainly not run.
     *
     * @return true if it may be sent again, whatever its kind
     */
    public boolean certainlyNotRun() {
        return this == NOT_RUN || this == MISDIRECTED;
    }
}
