package org.micabarrow.routing;

import java.util.Objects;
import java.util.OptionalLong;
import org.micabarrow.limits.EndpointLimit;

/**
 * What an entry knows about the load of one start of an endpoint: its own requests in flight there, the last report of
 * the endpoint's agent, and the outcomes of recent requests. Not thread-safe: confined to one thread.
 */
public final class EndpointLoad {

    /** Time after which an agent's report is no longer used, in milliseconds. */
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
    private final LinkDelay link = new LinkDelay();
    private final Failures failures = new Failures();
    private final Rest rest = new Rest();
    private final FirstEventDelay firstEvents = new FirstEventDelay();
    private final EndpointLimit limit;

    /**
     * Creates a load without requests and without a report.
     *
     * @param rateLimit the endpoint's rate limit, to be updated
     */
    public EndpointLoad(EndpointLimit limit) {
        this.limit = Objects.requireNonNull(limit, "limit is null");
    }

    // -- own requests

    /**
     * Records that a request was sent to the endpoint.
     *
     * @param promptTokens the tokens of its prompt
     */
    public void began(int promptTokens) {
        requests++;
        waitingPromptTokens += promptTokens;
    }

    /**
     * Records that the response to a request has begun, or that the request ended before that.
     *
     * @param promptTokens the tokens of its prompt
     */
    public void promptRead(int promptTokens) {
        waitingPromptTokens -= promptTokens;
    }

    /** Records that a request ended. */
    public void ended() {
        requests--;
    }

    /**
     * Returns whether no request of this entry is in flight.
     *
     * @return true if all have ended
     */
    public boolean idle() {
        return requests == 0;
    }

    /**
     * Returns the prompt tokens of this entry's requests whose responses have not begun.
     *
     * @return the number of tokens
     */
    public int ownPromptTokens() {
        return waitingPromptTokens;
    }

    /**
     * Returns the prompt tokens of all requests whose responses have not begun, as far as known.
     *
     * @param nowMillis the time on the monotonic clock
     * @return the number of tokens
     */
    public int waitingPromptTokens(long nowMillis) {
        return waitingPromptTokens + (toldLately(nowMillis) ? told.othersPromptTokens() : 0);
    }

    /**
     * Returns whether the endpoint's agent has reported before and neither the agent nor the endpoint has been heard
     * from within a timeout. Their instance may be paused or cut off.
     *
     * @param timeoutMillis the longest accepted time without contact
     * @param nowMillis the time on the monotonic clock
     * @return true if the last contact is older
     */
    public boolean silent(long patienceMillis, long nowMillis) {
        return agentSilent(patienceMillis, nowMillis) && nowMillis - heardAtMillis > patienceMillis;
    }

    /**
     * Records that data of a response arrived from the endpoint.
     *
     * @param nowMillis the time on the monotonic clock
     */
    public void heard(long nowMillis) {
        heardAtMillis = nowMillis;
    }

    // -- reports of the agent

    /**
     * Records a report of the endpoint's agent.
     *
     * @param newReport the report
     * @param delayMillis the time since the query was sent, in milliseconds
     * @param nowMillis the time on the monotonic clock
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

    /**
     * Records that the agent reported another start of the endpoint. Nothing known about this start is used until the
     * agent reports this start again.
     */
    public void toldOfAnotherStart() {
        startedAgain = true;
    }

    /**
     * Returns whether the agent last reported another start of the endpoint, which holds no state of this one.
     *
     * @return true until it reports this start
     */
    public boolean startedAgain() {
        return startedAgain;
    }

    /** Records that the agent did not reply to a query in time. */
    public void notAnswered() {
        unanswered = true;
    }

    /**
     * Returns whether the agent has left a query without a reply and has not reported since.
     *
     * @return true until its next report
     */
    public boolean unanswered() {
        return unanswered;
    }

    /**
     * Returns whether the endpoint's agent has ever reported.
     *
     * @return false for an endpoint without an agent
     */
    public boolean hasAgent() {
        return toldAtMillis >= 0;
    }

    /**
     * Returns whether the last report of the endpoint's agent is recent enough to be used.
     *
     * @param nowMillis the time on the monotonic clock
     * @return true until the report expires
     */
    public boolean toldLately(long nowMillis) {
        return nowMillis - toldAtMillis <= TOLD_MILLIS;
    }

    /**
     * Returns the age of the last report of the endpoint's agent.
     *
     * @param nowMillis the time on the monotonic clock
     * @return milliseconds
     */
    public long millisSinceTold(long nowMillis) {
        return nowMillis - toldAtMillis;
    }

    /**
     * Returns whether the endpoint's agent has reported before but not within a timeout, regardless of contact with the
     * endpoint itself: queries or replies may get lost on a saturated link.
     *
     * @param timeoutMillis the longest accepted time without a report
     * @param nowMillis the time on the monotonic clock
     * @return true if the last report is older
     */
    public boolean agentSilent(long patienceMillis, long nowMillis) {
        return hasAgent() && nowMillis - toldAtMillis > patienceMillis;
    }

    /**
     * Returns whether the round trip to the endpoint is slow because its instance's link is narrow or saturated.
     *
     * @param nowMillis the time on the monotonic clock
     * @return true if the agent's last reply has not expired and was late
     */
    public boolean delayed(long nowMillis) {
        return toldLately(nowMillis) && link.slow();
    }

    /**
     * Returns whether the round trip to the endpoint was slow recently and may therefore become slow again.
     *
     * @param nowMillis the time on the monotonic clock
     * @return true for a while after each late reply of its agent
     */
    public boolean delayedLately(long nowMillis) {
        return link.slowLately(nowMillis);
    }

    /**
     * Records the weight version that a response came from.
     *
     * @param responseVersion the version
     */
    public void answeredBy(long answered) {
        version = Math.max(version, answered);
    }

    /**
     * Returns the newest weight version that the endpoint is known to have held.
     *
     * @return the version, 0 if none is known
     */
    public long version() {
        return version;
    }

    /**
     * Returns whether the endpoint is loading weights now.
     *
     * @param nowMillis the time on the monotonic clock
     * @return true if its agent reported so recently
     */
    public boolean loading(long nowMillis) {
        return told.loading() && toldLately(nowMillis);
    }

    /**
     * Returns whether the endpoint is draining according to its agent's last report. If the endpoint does not report
     * its start time, that report may concern the previous start, so it counts only until the next report.
     *
     * @return true if its agent reported so
     */
    public boolean toldThatItLeaves() {
        return told.leaving() && !startedAgain;
    }

    /**
     * Returns the number of requests at the endpoint as far as known: the number in the last report plus the requests
     * sent since.
     *
     * @param nowMillis the time on the monotonic clock
     * @return at least the number of this entry's own requests
     */
    public int requests(long nowMillis) {
        return toldLately(nowMillis) ? Math.max(requests, told.requests() + requests - requestsWhenTold) : requests;
    }

    /**
     * Returns whether this entry may send one more request within its allotted slots: those that its requests in flight
     * occupy, which it may reuse when they end, and the free ones that the agent allotted to it. Without allotment all
     * entries would use the same reported free slot, and all but the first request would wait inside the endpoint.
     *
     * @param nowMillis the time on the monotonic clock
     * @return true also if the agent does not allot slots or has not reported recently
     */
    public boolean ownsPlace(long nowMillis) {
        return !toldLately(nowMillis) || requests - requestsWhenTold < told.places();
    }

    // -- backoff

    /**
     * Returns the backoff that the endpoint has asked for.
     *
     * @return the mutable backoff
     */
    public Rest rest() {
        return rest;
    }

    /**
     * Returns whether the endpoint's backoff allows one more request of this entry.
     *
     * @param nowMillis the time on the monotonic clock
     * @return false during the backoff, and after it while the ramp-up limit is reached
     */
    public boolean restAllows(long nowMillis) {
        return rest.allows(requests, nowMillis);
    }

    // -- rate limit

    /**
     * Returns the rate limit that the endpoint applies to all entries together.
     *
     * @return the mutable rate limit
     */
    public EndpointLimit limit() {
        return limit;
    }

    /**
     * Returns whether this entry's quota share allows a request now.
     *
     * @param nowMillis the time on the monotonic clock
     * @return true also if there is no rate limit
     */
    public boolean limitAllows(long nowMillis) {
        return limit.allows(toldLately(nowMillis), nowMillis);
    }

    /**
     * Returns the time until this entry's quota share allows a request.
     *
     * @param nowMillis the time on the monotonic clock
     * @return milliseconds, 0 also if there is no rate limit; empty if the limit is left to other entries
     */
    public OptionalLong untilLimitAllowsMillis(long nowMillis) {
        return limit.untilNextMillis(toldLately(nowMillis), nowMillis);
    }

    // -- first events

    /**
     * Returns the measured delay of the endpoint's first events.
     *
     * @return the mutable measurement
     */
    public FirstEventDelay firstEvents() {
        return firstEvents;
    }

    // -- failures

    /**
     * Returns the recent failures of the endpoint.
     *
     * @return the mutable failures
     */
    public Failures failures() {
        return failures;
    }
}
