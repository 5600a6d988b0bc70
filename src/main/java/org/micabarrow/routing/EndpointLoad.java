package org.micabarrow.routing;

/**
 * What an entry knows of the work at one endpoint: its own requests there, what the endpoint's agent told, and how its
 * last requests ended. Used by one thread.
 */
public final class EndpointLoad {

    /** How long an endpoint is left out after the first failure in a row, in milliseconds; doubled by each further one. */
    private static final long FIRST_EXCLUSION_MILLIS = 1_000;

    /** The longest exclusion, in milliseconds: an endpoint that is back gets traffic again within this. */
    private static final long LONGEST_EXCLUSION_MILLIS = 8_000;

    /** The weight of the newest answer in the share of failures. */
    private static final double FAILURE_SMOOTHING = 0.15;

    /** The share of failed answers from which an endpoint is left out: well above the errors that healthy services give. */
    private static final double FAILURE_SHARE = 0.5;

    /** How old what an agent told may be before it is no longer counted, in milliseconds. */
    private static final long TOLD_MILLIS = 2_000;

    private int requests;
    private int waitingPromptTokens;
    private int told;
    private int requestsWhenTold;
    private long toldAtMillis = Long.MIN_VALUE / 2;
    private boolean loading;
    private long version;
    private int failuresInARow;
    private double failureShare;
    private long excludedUntilMillis = Long.MIN_VALUE;

    // -- own requests

    /**
     * A request is sent there.
     *
     * @param promptTokens the tokens of its prompt
     */
    public void began(int promptTokens) {
        requests++;
        waitingPromptTokens += promptTokens;
    }

    /**
     * A request's answer has begun, or the request is over before that.
     *
     * @param promptTokens the tokens of its prompt
     */
    public void promptRead(int promptTokens) {
        waitingPromptTokens -= promptTokens;
    }

    /** A request is over. */
    public void ended() {
        requests--;
    }

    /**
     * The prompt tokens of own requests whose answers have not begun.
     *
     * @return their number
     */
    public int waitingPromptTokens() {
        return waitingPromptTokens;
    }

    // -- what the agent told

    /**
     * The endpoint's agent told what it does.
     *
     * @param running its requests, those in its queue too
     * @param busyLoading whether it is taking up weights
     * @param holds the weight version it holds; 0 for none
     * @param nowMillis the time on the steady clock
     */
    public void told(int running, boolean busyLoading, long holds, long nowMillis) {
        told = running;
        requestsWhenTold = requests;
        toldAtMillis = nowMillis;
        loading = busyLoading;
        version = Math.max(version, holds);
    }

    /**
     * An answer told which weight version it comes from.
     *
     * @param answered the version
     */
    public void answeredBy(long answered) {
        version = Math.max(version, answered);
    }

    /**
     * The newest weight version that the endpoint was seen to hold.
     *
     * @return the version, 0 if none was seen
     */
    public long version() {
        return version;
    }

    /**
     * Whether the endpoint takes up weights just now.
     *
     * @param nowMillis the time on the steady clock
     * @return true if its agent said so lately
     */
    public boolean loading(long nowMillis) {
        return loading && nowMillis - toldAtMillis < TOLD_MILLIS;
    }

    /**
     * The requests at the endpoint, as far as known: what its agent told plus what was sent since.
     *
     * @param nowMillis the time on the steady clock
     * @return their number, at least the entry's own
     */
    public int requests(long nowMillis) {
        if (nowMillis - toldAtMillis > TOLD_MILLIS) {
            return requests;
        }
        return Math.max(requests, told + requests - requestsWhenTold);
    }

    // -- failures

    /** The endpoint gave an answer that may be passed on. */
    public void succeeded() {
        failuresInARow = 0;
        failureShare *= 1 - FAILURE_SMOOTHING;
    }

    /**
     * A connection failed, broke, or gave what is no answer.
     *
     * @param nowMillis the time on the steady clock
     */
    public void broke(long nowMillis) {
        long exclusion = FIRST_EXCLUSION_MILLIS << Math.min(failuresInARow, 3);
        failuresInARow++;
        excludedUntilMillis = nowMillis + Math.min(exclusion, LONGEST_EXCLUSION_MILLIS);
    }

    /**
     * The endpoint answered with an error of its own.
     *
     * @param nowMillis the time on the steady clock
     */
    public void failed(long nowMillis) {
        failureShare += (1 - failureShare) * FAILURE_SMOOTHING;
        if (failureShare > FAILURE_SHARE) {
            excludedUntilMillis = nowMillis + FIRST_EXCLUSION_MILLIS;
        }
    }

    /**
     * Whether the endpoint is left out because of failures.
     *
     * @param nowMillis the time on the steady clock
     * @return true until the exclusion ends
     */
    public boolean excluded(long nowMillis) {
        return nowMillis < excludedUntilMillis;
    }
}
