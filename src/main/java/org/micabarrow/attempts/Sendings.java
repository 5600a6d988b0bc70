package org.micabarrow.attempts;

import java.util.Collections;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/** The attempts of one request so far. Not thread-safe: confined to one thread. */
public final class Sendings {

    /** Maximum number of agent queries before one attempt: each may take a fraction of the objective. */
    private static final int MOST_QUESTIONS = 2;

    private final Set<String> tried = new HashSet<>();
    private int count;
    private int asked;
    private boolean cameLate;
    private boolean mayHaveRun;

    /**
     * Returns the ids of the endpoints to which the request was sent. An endpoint that has restarted did not run it,
     * but is not tried a second time.
     *
     * @return an unmodifiable view
     */
    public Set<String> tried() {
        return Collections.unmodifiableSet(tried);
    }

    /**
     * Returns the number of attempts.
     *
     * @return the number of attempts that were sent or are about to be sent
     */
    public int count() {
        return count;
    }

    /**
     * Returns whether one of the endpoints may have run the request.
     *
     * @return false only if it certainly has not run
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Returns whether a connection was established too late before.
     *
     * @return true from the first such connection on
     */
    public boolean cameLate() {
        return cameLate;
    }

    // -- events

    /**
     * Counts an agent query before the next attempt.
     *
     * @return false if the maximum number of queries since the last attempt has been reached
     */
    public boolean ask() {
        if (asked == MOST_QUESTIONS) {
            return false;
        }
        asked++;
        return true;
    }

    /**
     * Records an attempt.
     *
     * @param endpoint the endpoint's id
     */
    public void sent(String endpoint) {
        asked = 0;
        tried.add(Objects.requireNonNull(endpoint, "endpoint is null"));
        count++;
    }

    /** Records that no byte of the last attempt was sent, so that it does not count. */
    public void withheld() {
        count--;
    }

    /**
     * Records that the connection of the last attempt was established too late. The endpoint may be selected again.
     *
     * @param endpoint the endpoint's id
     */
    public void cameLateAt(String endpoint) {
        cameLate = true;
        tried.remove(endpoint);
    }

    /**
     * Records an attempt that ended without a response.
     *
     * @param outcome how it ended
     */
    public void ended(AttemptEnd end) {
        mayHaveRun |= !end.surelyNotRun();
    }

    // -- progress

    /**
     * Returns the state on which {@link AttemptPolicy} decides.
     *
     * @param remainingMillis the remaining time in milliseconds
     * @return the state so far
     */
    public AttemptPolicy.Progress progress(long millisLeft) {
        return new AttemptPolicy.Progress(count, mayHaveRun, millisLeft);
    }

    /**
     * Returns the state on the assumption that the current endpoint has run the request.
     *
     * @param remainingMillis the remaining time in milliseconds
     * @return the assumed state
     */
    public AttemptPolicy.Progress progressIfRun(long millisLeft) {
        return new AttemptPolicy.Progress(count, true, millisLeft);
    }
}
