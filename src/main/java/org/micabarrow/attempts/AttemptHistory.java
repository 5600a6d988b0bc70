package org.micabarrow.attempts;

import java.util.Collections;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/** What has become of one request's sendings so far. Used by one thread. */
public final class AttemptHistory {

    /** How many agents are asked in vain before one sending: each may take a part of the objective. */
    private static final int MOST_QUESTIONS = 2;

    private final Set<String> tried = new HashSet<>();
    private int count;
    private int asked;
    private boolean cameLate;
    private boolean mayHaveRun;

    /**
     * The ids of the endpoints that it was sent to. One that started again did not run it, but is not tried a second time.
     *
     * @return a view of them
     */
    public Set<String> tried() {
        return Collections.unmodifiableSet(tried);
    }

    /**
     * How often it was sent.
     *
     * @return the number of sendings that left, or are about to
     */
    public int count() {
        return count;
    }

    /**
     * Whether one of the endpoints may have run it.
     *
     * @return false only if it surely has not run
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Whether a connection came too late once already.
     *
     * @return true from then on
     */
    public boolean cameLate() {
        return cameLate;
    }

    // -- what happens

    /**
     * An agent is to be asked before the next sending.
     *
     * @return false if as many were asked since the last sending as may be
     */
    public boolean ask() {
        if (asked == MOST_QUESTIONS) {
            return false;
        }
        asked++;
        return true;
    }

    /**
     * It is sent.
     *
     * @param endpoint the endpoint's id
     */
    public void sent(String endpoint) {
        asked = 0;
        tried.add(Objects.requireNonNull(endpoint, "endpoint is null"));
        count++;
    }

    /** No byte of the last sending left after all, so that it does not count. */
    public void withheld() {
        count--;
    }

    /**
     * The connection of the last sending came too late; the endpoint may be chosen anew.
     *
     * @param endpoint the endpoint's id
     */
    public void cameLateAt(String endpoint) {
        cameLate = true;
        tried.remove(endpoint);
    }

    /**
     * A sending ended without an answer.
     *
     * @param end how
     */
    public void ended(AttemptOutcome end) {
        mayHaveRun |= !end.surelyNotRun();
    }

    // -- what may follow

    /**
     * What a policy has to know.
     *
     * @param millisLeft the time that remains
     * @return what has happened so far
     */
    public AttemptPolicy.Progress progress(long millisLeft) {
        return new AttemptPolicy.Progress(count, mayHaveRun, millisLeft);
    }

    /**
     * The same if the present endpoint has run the request.
     *
     * @param millisLeft the time that remains
     * @return what has happened then
     */
    public AttemptPolicy.Progress progressIfRun(long millisLeft) {
        return new AttemptPolicy.Progress(count, true, millisLeft);
    }
}
