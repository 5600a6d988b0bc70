package org.micabarrow.routing;

import java.util.Objects;
import java.util.OptionalLong;
import org.micabarrow.limits.EndpointRateLimit;

/**
 * What an entry knows of the work at one start of an endpoint: its own requests there, what the endpoint's agent told, and
 * how its last requests ended. Used by one thread.
 */
public final class EndpointLoad {

    /** How old what an agent told may be before it is no longer counted, in milliseconds. */
    private static final long TOLD_MILLIS = 2_000;

    private int requests;
    private int waitingPromptTokens;
    private LoadReport told = new LoadReport(0, 0, false, 0);
    private int requestsWhenTold;
    private long toldAtMillis = -TOLD_MILLIS - 1;
    private long heardAtMillis;
    private boolean unanswered;
    private boolean startedAgain;
    private long version;
    private final LinkLatency link = new LinkLatency();
    private final FailureTracker failures = new FailureTracker();
    private final Backoff rest = new Backoff();
    private final FirstEventDelay firstEvents = new FirstEventDelay();
    private final EndpointRateLimit limit;

    /**
     * Begins without any request, and with nothing told.
     *
     * @param limit what is known of the endpoint's limit, to be updated
     */
    public EndpointLoad(EndpointRateLimit limit) {
        this.limit = Objects.requireNonNull(limit, "limit is null");
    }

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
     * The endpoint's agent told what it does.
     *
     * @param news what it told
     * @param delay how long ago it was asked, in milliseconds
     * @param nowMillis the time on the steady clock
     */
    public void told(LoadReport news, long delay, long nowMillis) {
        told = news;
        link.measured(delay, nowMillis);
        requestsWhenTold = requests;
        toldAtMillis = nowMillis;
        unanswered = false;
        startedAgain = false;
        version = Math.max(version, news.version());
    }

    /** The agent told of another start of the endpoint: what is known of this one is over, until the agent tells of it. */
    public void toldOfAnotherStart() {
        startedAgain = true;
    }

    /**
     * Whether the endpoint's agent last told of another start of the endpoint, which holds nothing of what this one did.
     *
     * @return true until it tells of this one
     */
    public boolean startedAgain() {
        return startedAgain;
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
     * How old what the endpoint's agent told last is.
     *
     * @param nowMillis the time on the steady clock
     * @return milliseconds
     */
    public long millisSinceTold(long nowMillis) {
        return nowMillis - toldAtMillis;
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
        return toldLately(nowMillis) && link.slow();
    }

    /**
     * Whether the way to the endpoint and back took long lately, so that it may do so again.
     *
     * @param nowMillis the time on the steady clock
     * @return true for a while after each late answer of its agent
     */
    public boolean delayedLately(long nowMillis) {
        return link.slowLately(nowMillis);
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
     * Whether the endpoint leaves, by what its agent told last. Where starts are not told, an agent's word may be of the start before,
     * so it holds only until the agent tells otherwise.
     *
     * @return true if its agent said so
     */
    public boolean toldThatItLeaves() {
        return told.leaving() && !startedAgain;
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

    /**
     * Whether one more of the entry's requests fits into the places that are its own: those that its requests have, which it may
     * fill again when they end, and those that the agent dealt to it. Without that, all entries would take a place that one
     * of them reads of, and the requests that come last wait inside the endpoint.
     *
     * @param nowMillis the time on the steady clock
     * @return true also if the agent dealt none out, or has not told anything lately
     */
    public boolean ownsPlace(long nowMillis) {
        return !toldLately(nowMillis) || requests - requestsWhenTold < told.places();
    }

    // -- rest

    /**
     * The rest that the endpoint has asked for.
     *
     * @return the rest, to be kept
     */
    public Backoff rest() {
        return rest;
    }

    /**
     * Whether one more of the entry's requests may be sent there as far as the endpoint's rest goes.
     *
     * @param nowMillis the time on the steady clock
     * @return false while it rests, and while enough are there afterwards
     */
    public boolean restAllows(long nowMillis) {
        return rest.allows(requests, nowMillis);
    }

    // -- limit

    /**
     * The requests a second that the endpoint takes from all entries together.
     *
     * @return what is known of it, to be updated
     */
    public EndpointRateLimit limit() {
        return limit;
    }

    /**
     * Whether this entry's part of the limit allows a request.
     *
     * @param nowMillis the time on the steady clock
     * @return true also if there is no limit
     */
    public boolean limitAllows(long nowMillis) {
        return limit.allows(toldLately(nowMillis), nowMillis);
    }

    /**
     * How long it takes until this entry's part of the limit allows a request.
     *
     * @param nowMillis the time on the steady clock
     * @return milliseconds, 0 also if there is no limit; empty if it is left to other entries
     */
    public OptionalLong untilLimitAllowsMillis(long nowMillis) {
        return limit.untilNextMillis(toldLately(nowMillis), nowMillis);
    }

    // -- first events

    /**
     * How late the first events of the endpoint's answers are.
     *
     * @return the record, to be kept
     */
    public FirstEventDelay firstEvents() {
        return firstEvents;
    }

    // -- failures

    /**
     * How the endpoint's last requests ended.
     *
     * @return the record, to be kept
     */
    public FailureTracker failures() {
        return failures;
    }
}
