package org.micabarrow.serving;

/** How a request can end. */
enum Ending {

    /** An endpoint's answer was passed on. */
    ANSWERED("answered", 0),

    /** The request truly did not run, and the client is told so and when to come back. */
    NOT_RUN("not_run", 503),

    /** Whether it ran is not known, and nothing more is tried. */
    UNKNOWN("unknown", 502),

    /** Whether it ran is not known, and its time is over. */
    TIMED_OUT("unknown", 504),

    /** Its answer had begun and is broken off. */
    BROKEN("broken", 0),

    /** Its client has left. */
    CLIENT_GONE("client_gone", 0);

    private final String outcome;
    private final int status;

    Ending(String outcome, int status) {
        this.outcome = outcome;
        this.status = status;
    }

    /** The outcome's name in the log. */
    String outcome() {
        return outcome;
    }

    /** The status of the entry's own answer; 0 if it gives none. */
    int status() {
        return status;
    }

    /**
     * How a request ends for which nothing more is tried.
     *
     * @param answerBegun whether its client has got a part of an answer
     * @param mayHaveRun whether an endpoint may have run it
     * @return the end
     */
    static Ending withoutAnswer(boolean answerBegun, boolean mayHaveRun) {
        if (answerBegun) {
            return BROKEN;
        }
        return mayHaveRun ? UNKNOWN : NOT_RUN;
    }

    /**
     * How a request ends whose time is over, or whose entry stops.
     *
     * @param answerBegun whether its client has got a part of an answer
     * @param mayRun whether an endpoint may have run it, or may run it now
     * @return the end
     */
    static Ending outOfTime(boolean answerBegun, boolean mayRun) {
        Ending ending = withoutAnswer(answerBegun, mayRun);
        return ending == UNKNOWN ? TIMED_OUT : ending;
    }
}
