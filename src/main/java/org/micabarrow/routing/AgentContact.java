package org.micabarrow.routing;

/**
 * The contact of an entry with an endpoint and its agent: how recent the agent's last report is, whether a query of it
 * is unanswered, and how slow the link is. Not thread-safe: confined to one thread.
 */
public final class AgentContact {

    /** Time after which an agent's report is no longer used, in milliseconds. */
    private static final long REPORT_EXPIRY_MILLIS = 2_000;

    private final LinkLatency link = new LinkLatency();
    private long reportedAtMillis = -REPORT_EXPIRY_MILLIS - 1;
    private long lastDataMillis;
    private boolean queryUnanswered;

    /** Creates a contact without any report or response. */
    AgentContact() {}

    // -- events

    /** Records a report of the agent. */
    void reported(long delayMillis, long nowMillis) {
        link.measured(delayMillis, nowMillis);
        reportedAtMillis = nowMillis;
        queryUnanswered = false;
    }

    /**
     * Records that data of a response arrived from the endpoint.
     *
     * @param nowMillis the time on the monotonic clock
     */
    public void dataReceived(long nowMillis) {
        lastDataMillis = nowMillis;
    }

    /** Records that the agent did not reply to a query in time. */
    public void queryTimedOut() {
        queryUnanswered = true;
    }

    // -- reports

    /**
     * Returns whether the endpoint's agent has ever reported.
     *
     * @return false for an endpoint without an agent
     */
    public boolean hasAgent() {
        return reportedAtMillis >= 0;
    }

    /**
     * Returns whether the last report of the endpoint's agent is recent enough to be used.
     *
     * @param nowMillis the time on the monotonic clock
     * @return true until the report expires
     */
    public boolean hasRecentReport(long nowMillis) {
        return nowMillis - reportedAtMillis <= REPORT_EXPIRY_MILLIS;
    }

    /**
     * Returns the age of the last report of the endpoint's agent.
     *
     * @param nowMillis the time on the monotonic clock
     * @return milliseconds
     */
    public long millisSinceReport(long nowMillis) {
        return nowMillis - reportedAtMillis;
    }

    // -- silence

    /**
     * Returns whether the agent has left a query without a reply and has not reported since.
     *
     * @return true until its next report
     */
    public boolean hasUnansweredQuery() {
        return queryUnanswered;
    }

    /**
     * Returns whether the endpoint's agent has reported before but not within a timeout, regardless of contact with the
     * endpoint itself: queries or replies may get lost on a saturated link.
     *
     * @param timeoutMillis the longest accepted time without a report
     * @param nowMillis the time on the monotonic clock
     * @return true if the last report is older
     */
    public boolean agentUnresponsive(long timeoutMillis, long nowMillis) {
        return hasAgent() && nowMillis - reportedAtMillis > timeoutMillis;
    }

    /**
     * Returns whether the endpoint's agent has reported before but neither the agent nor the endpoint has been in
     * contact within a timeout. Their instance may be paused or cut off.
     *
     * @param timeoutMillis the longest accepted time without contact
     * @param nowMillis the time on the monotonic clock
     * @return true if the last contact is older
     */
    public boolean unresponsive(long timeoutMillis, long nowMillis) {
        return agentUnresponsive(timeoutMillis, nowMillis) && nowMillis - lastDataMillis > timeoutMillis;
    }

    // -- link

    /**
     * Returns whether the round trip to the endpoint is slow because its instance's link is narrow or saturated.
     *
     * @param nowMillis the time on the monotonic clock
     * @return true if the agent's last reply has not expired and was late
     */
    public boolean linkSlow(long nowMillis) {
        return hasRecentReport(nowMillis) && link.slow();
    }

    /**
     * Returns whether the round trip to the endpoint was slow recently and may therefore become slow again.
     *
     * @param nowMillis the time on the monotonic clock
     * @return true for a while after each late reply of its agent
     */
    public boolean linkRecentlySlow(long nowMillis) {
        return link.recentlySlow(nowMillis);
    }
}
