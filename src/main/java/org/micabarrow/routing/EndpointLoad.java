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

    /**
     * From when on the way to an endpoint and back counts as slow, in milliseconds: about an objective, so that no answer could
     * come in time; links that weights pass through take up to a fifth of a second.
     */
    private static final long SLOW_MILLIS = 400;

    /**
     * For how long after a slow answer a link may be slow again, in milliseconds. A narrow link is quick between two chunks of
     * weights, and each of them fills it for a second.
     */
    private static final long SLOW_AGAIN_MILLIS = 3_000;

    /** How old what an agent told may be before it is no longer counted, in milliseconds. */
    private static final long TOLD_MILLIS = 2_000;

    private int requests;
    private int waitingPromptTokens;
    private Told told = new Told(0, 0, false, 0);
    private int requestsWhenTold;
    private long toldAtMillis = -TOLD_MILLIS - 1;
    private long heardAtMillis;
    private long delayMillis;
    private boolean unanswered;
    private long lastDelayedMillis = -SLOW_AGAIN_MILLIS - 1;
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
     * Whether no own request is there.
     *
     * @return true if all are over
     */
    public boolean idle() {
        return requests == 0;
    }

    /**
     * The prompt tokens of own requests whose answers have not begun.
     *
     * @return their number
     */
    public int ownPromptTokens() {
        return waitingPromptTokens;
    }

    /**
     * The prompt tokens of all requests whose answers have not begun, as far as known.
     *
     * @param nowMillis the time on the steady clock
     * @return their number
     */
    public int waitingPromptTokens(long nowMillis) {
        return waitingPromptTokens + (toldLately(nowMillis) ? told.othersPromptTokens() : 0);
    }

    /**
     * Whether the endpoint's agent used to tell, and neither it nor the endpoint is heard any more: their instance may
     * stand still or be cut off.
     *
     * @param patienceMillis how long their silence is borne
     * @param nowMillis the time on the steady clock
     * @return true if what was heard last is older
     */
    public boolean silent(long patienceMillis, long nowMillis) {
        return agentSilent(patienceMillis, nowMillis) && nowMillis - heardAtMillis > patienceMillis;
    }

    /**
     * A part of an answer came from the endpoint.
     *
     * @param nowMillis the time on the steady clock
     */
    public void heard(long nowMillis) {
        heardAtMillis = nowMillis;
    }

    // -- what the agent told

    /**
     * What an endpoint's agent told.
     *
     * @param requests the requests at the endpoint, those in its queue too
     * @param othersPromptTokens prompt tokens that other entries have waiting there
     * @param loading whether the endpoint is taking up weights
     * @param version the weight version it holds; 0 for none
     */
    public record Told(int requests, int othersPromptTokens, boolean loading, long version) {}

    /**
     * The endpoint's agent told what it does.
     *
     * @param news what it told
     * @param delay how long ago it was asked, in milliseconds
     * @param nowMillis the time on the steady clock
     */
    public void told(Told news, long delay, long nowMillis) {
        told = news;
        delayMillis = delay;
        requestsWhenTold = requests;
        toldAtMillis = nowMillis;
        unanswered = false;
        if (delay > SLOW_MILLIS) {
            lastDelayedMillis = nowMillis;
        }
        version = Math.max(version, news.version());
    }

    /** The agent did not answer a question in time. */
    public void notAnswered() {
        unanswered = true;
    }

    /**
     * Whether the agent left a question unanswered and has told nothing since.
     *
     * @return true until it tells something again
     */
    public boolean unanswered() {
        return unanswered;
    }

    /**
     * Whether the endpoint's agent ever told anything.
     *
     * @return false for an endpoint without an agent
     */
    public boolean hasAgent() {
        return toldAtMillis >= 0;
    }

    /**
     * Whether the endpoint's agent told anything lately.
     *
     * @param nowMillis the time on the steady clock
     * @return true if what it told still counts
     */
    public boolean toldLately(long nowMillis) {
        return nowMillis - toldAtMillis <= TOLD_MILLIS;
    }

    /**
     * Whether the endpoint's agent used to tell and tells no more, be the endpoint heard or not: questions or answers may be
     * lost in a link that is full.
     *
     * @param patienceMillis how long its silence is borne
     * @param nowMillis the time on the steady clock
     * @return true if what it told last is older
     */
    public boolean agentSilent(long patienceMillis, long nowMillis) {
        return hasAgent() && nowMillis - toldAtMillis > patienceMillis;
    }

    /**
     * Whether the way to the endpoint and back takes long, because its instance's link is narrow or full.
     *
     * @param nowMillis the time on the steady clock
     * @return true if its agent's last answer, if it still counts, came late
     */
    public boolean delayed(long nowMillis) {
        return toldLately(nowMillis) && delayMillis > SLOW_MILLIS;
    }

    /**
     * Whether the way to the endpoint and back took long lately, so that it may do so again.
     *
     * @param nowMillis the time on the steady clock
     * @return true for a while after each late answer of its agent
     */
    public boolean delayedLately(long nowMillis) {
        return nowMillis - lastDelayedMillis <= SLOW_AGAIN_MILLIS;
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
        return told.loading() && toldLately(nowMillis);
    }

    /**
     * The requests at the endpoint, as far as known: what its agent told plus what was sent since.
     *
     * @param nowMillis the time on the steady clock
     * @return their number, at least the entry's own
     */
    public int requests(long nowMillis) {
        return toldLately(nowMillis) ? Math.max(requests, told.requests() + requests - requestsWhenTold) : requests;
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
     * At the endpoint's address is another one, or it holds another weight version than is wanted: its entry is older than
     * what it tells of itself.
     *
     * @param nowMillis the time on the steady clock
     */
    public void misdirected(long nowMillis) {
        excludedUntilMillis = Math.max(excludedUntilMillis, nowMillis + FIRST_EXCLUSION_MILLIS);
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
