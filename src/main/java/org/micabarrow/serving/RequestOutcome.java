package org.micabarrow.serving;

/** The outcome of a request. */
enum RequestOutcome {

    /** The response of an endpoint was forwarded. */
    ANSWERED("answered", 0),

    /** The request was not run; the client is told so, and when to retry. */
    NOT_RUN("not_run", 503),

    /** It is not known whether the request ran, and no further attempt is made. */
    UNKNOWN("unknown", 502),

    /** It is not known whether the request ran, and its deadline has passed. */
    TIMED_OUT("unknown", 504),

    /** The response had started and broke off. */
    BROKEN("broken", 0),

    /** The client disconnected. */
    CLIENT_GONE("client_gone", 0);

    private final String logName;
    private final int status;

    RequestOutcome(String logName, int status) {
        this.logName = logName;
        this.status = status;
    }

    /** The name of the outcome in the log. */
    String logName() {
        return logName;
    }

    /** The status of the entry's own response; 0 if it sends none. */
    int status() {
        return status;
    }

    /**
     * The outcome of a request for which no further attempt is made.
     *
     * @param responseStarted whether the client has received a part of a response
     * @param mayHaveRun whether an endpoint may have run the request
     * @return the outcome
     */
    static RequestOutcome withoutResponse(boolean responseStarted, boolean mayHaveRun) {
        if (responseStarted) {
            return BROKEN;
        }
        return mayHaveRun ? UNKNOWN : NOT_RUN;
    }

    /**
     * The outcome of a request whose deadline has passed or whose entry stops.
     *
     * @param responseStarted whether the client has received a part of a response
     * @param mayRun whether an endpoint may have run the request, or may still run it
     * @return the outcome
     */
    static RequestOutcome timedOut(boolean responseStarted, boolean mayRun) {
        RequestOutcome outcome = withoutResponse(responseStarted, mayRun);
        return outcome == UNKNOWN ? TIMED_OUT : outcome;
    }
}
