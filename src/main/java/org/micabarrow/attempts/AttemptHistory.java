package org.micabarrow.attempts;

import java.util.Collections;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/** The attempts of one request so far. Not thread-safe: confined to one thread. */
public final class AttemptHistory {

    /** Maximum number of agent queries before one attempt: each may take a fraction of the objective. */
    private static final int MAX_AGENT_QUERIES = 2;

    private final Set<String> triedEndpoints = new HashSet<>();
    private int count;
    private int agentQueries;
    private boolean connectedLate;
    private boolean mayHaveRun;

    /**
     * Returns the ids of the endpoints to which the request was sent. An endpoint that has restarted did not run it,
     * but is not tried a second time.
     *
     * @return an unmodifiable view
     */
    public Set<String> triedEndpoints() {
        return Collections.unmodifiableSet(triedEndpoints);
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
    public boolean connectedLate() {
        return connectedLate;
    }

    // -- events

    /**
     * Counts an agent query before the next attempt.
     *
     * @return false if the maximum number of queries since the last attempt has been reached
     */
    public boolean countAgentQuery() {
        if (agentQueries == MAX_AGENT_QUERIES) {
            return false;
        }
        agentQueries++;
        return true;
    }

    /**
     * Records an attempt.
     *
     * @param endpoint the endpoint's id
     */
    public void sent(String endpoint) {
        agentQueries = 0;
        triedEndpoints.add(Objects.requireNonNull(endpoint, "endpoint is null"));
        count++;
    }

    /** Records that no byte of the last attempt was sent, so that it does not count. */
    public void notSent() {
        count--;
    }

    /**
     * Records that the connection of the last attempt was established too late. The endpoint may be selected again.
     *
     * @param endpoint the endpoint's id
     */
    public void connectionLate(String endpoint) {
        connectedLate = true;
        triedEndpoints.remove(endpoint);
    }

    /**
     * Records an attempt that ended without a response.
     *
     * @param outcome how it ended
     */
    public void ended(AttemptOutcome outcome) {
        mayHaveRun |= !outcome.certainlyNotRun();
    }

    // -- progress

    /**
     * Returns the state on which {@link AttemptPolicy} decides.
     *
     * @param remainingMillis the remaining time in milliseconds
     * @return the state so far
     */
    public AttemptPolicy.Progress progress(long remainingMillis) {
        return new AttemptPolicy.Progress(count, mayHaveRun, remainingMillis);
    }

    /**
     * Returns the state on the assumption that the current endpoint has run the request.
     *
     * @param remainingMillis the remaining time in milliseconds
     * @return the assumed state
     */
    public AttemptPolicy.Progress progressIfRun(long remainingMillis) {
        return new AttemptPolicy.Progress(count, true, remainingMillis);
    }
}
