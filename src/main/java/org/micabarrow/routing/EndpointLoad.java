package org.micabarrow.routing;

import java.util.Objects;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.micabarrow.limits.ColdLimit;
import org.micabarrow.limits.EndpointRateLimit;
import org.micabarrow.limits.EntryRank;

/**
 * What an entry knows about the load of one start of an endpoint: its own requests in flight there, the last report of
 * the endpoint's agent, and the outcomes of recent requests. Not thread-safe: confined to one thread.
 */
public final class EndpointLoad {

    private int inFlight;
    private int pendingPromptTokens;
    private LoadReport report = new LoadReport(0, 0, false, 0);
    private SlotLimits slotLimits = SlotLimits.undivided();
    private int inFlightWhenReported;
    private boolean restarted;
    private long version;
    private AgentContact contact = new AgentContact();
    private final FailureTracker failures = new FailureTracker();
    private final Backoff backoff = new Backoff();
    private final EndpointSpeed speed;
    private final StreamSilence silence;
    private final EndpointMemory memory = new EndpointMemory();
    private final EndpointRateLimit rateLimit;
    private final ColdLimit coldLimit;

    /**
     * Creates a load without requests and without a report.
     *
     * @param rateLimit the endpoint's rate limit, to be updated
     */
    public EndpointLoad(EndpointRateLimit rateLimit) {
        this(rateLimit, new EndpointSpeed("-"), new StreamSilence(new StreamGaps()));
    }

    /** Creates a load without requests and without a report, with what is to be updated. */
    EndpointLoad(EndpointRateLimit rateLimit, EndpointSpeed speed, StreamSilence silence) {
        this.rateLimit = Objects.requireNonNull(rateLimit, "rateLimit is null");
        this.speed = Objects.requireNonNull(speed, "speed is null");
        this.silence = Objects.requireNonNull(silence, "silence is null");
        this.coldLimit = new ColdLimit(rateLimit);
    }

    // -- own requests

    /**
     * Records that a request was sent to the endpoint.
     *
     * @param promptTokens the tokens of its prompt
     */
    public void requestSent(int promptTokens) {
        inFlight++;
        pendingPromptTokens += promptTokens;
    }

    /**
     * Records that the response to a request has begun, or that the request ended before that.
     *
     * @param promptTokens the tokens of its prompt
     */
    public void promptRead(int promptTokens) {
        pendingPromptTokens -= promptTokens;
    }

    /** Records that a request ended. */
    public void requestEnded() {
        inFlight--;
    }

    /**
     * Returns whether no request of this entry is in flight.
     *
     * @return true if all have ended
     */
    public boolean idle() {
        return inFlight == 0;
    }

    /**
     * Returns the prompt tokens of this entry's requests whose responses have not begun.
     *
     * @return the number of tokens
     */
    public int ownPendingPromptTokens() {
        return pendingPromptTokens;
    }

    /**
     * Returns the prompt tokens of all requests whose responses have not begun, as far as known.
     *
     * @param nowMillis the time on the monotonic clock
     * @return the number of tokens
     */
    public int pendingPromptTokens(long nowMillis) {
        return pendingPromptTokens + (contact.hasRecentReport(nowMillis) ? report.othersPromptTokens() : 0);
    }

    // -- reports of the agent

    /**
     * Returns the contact with the endpoint and its agent.
     *
     * @return the mutable contact
     */
    public AgentContact contact() {
        return contact;
    }

    /** Records that the endpoint's agent is no longer queried: its silence says nothing from now on. */
    void contactEnded() {
        contact = new AgentContact();
    }

    /**
     * Records a report of the endpoint's agent.
     *
     * @param newReport the report
     * @param delayMillis the time since the query was sent, in milliseconds
     * @param nowMillis the time on the monotonic clock
     */
    public void reported(LoadReport newReport, long delayMillis, long nowMillis) {
        report = newReport;
        slotLimits = SlotLimits.undivided();
        inFlightWhenReported = inFlight;
        contact.reported(delayMillis, nowMillis);
        restarted = false;
        version = Math.max(version, newReport.version());
        speed.reported(newReport.condition().map(EndpointCondition::pace).orElseGet(OptionalDouble::empty), nowMillis);
    }

    /**
     * Records how the agent divides the slots of its last report by class.
     *
     * @param limits the limits, which hold until the next report
     */
    public void slotsDivided(SlotLimits limits) {
        slotLimits = Objects.requireNonNull(limits, "limits is null");
    }

    /**
     * Records that the agent reported another start of the endpoint. Nothing known about this start is used until the
     * agent reports this start again.
     */
    public void otherStartReported() {
        restarted = true;
    }

    /**
     * Returns whether the agent last reported another start of the endpoint, which holds no state of this one.
     *
     * @return true until it reports this start
     */
    public boolean restarted() {
        return restarted;
    }

    /**
     * Records the weight version that a response came from.
     *
     * @param responseVersion the version
     */
    public void respondedWithVersion(long responseVersion) {
        version = Math.max(version, responseVersion);
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
        return report.loading() && contact.hasRecentReport(nowMillis);
    }

    /**
     * Returns whether the endpoint is draining according to its agent's last report. If the endpoint does not report
     * its start time, that report may concern the previous start, so it counts only until the next report.
     *
     * @return true if its agent reported so
     */
    public boolean reportedDraining() {
        return report.draining() && !restarted;
    }

    /**
     * Returns the number of requests at the endpoint as far as known: the number in the last report plus the requests
     * sent since.
     *
     * @param nowMillis the time on the monotonic clock
     * @return at least the number of this entry's own requests
     */
    public int requests(long nowMillis) {
        return contact.hasRecentReport(nowMillis)
                ? Math.max(inFlight, report.requests() + inFlight - inFlightWhenReported)
                : inFlight;
    }

    /**
     * Returns whether this entry may send one more request within its allotted slots: those that its requests in flight
     * occupy, which it may reuse when they end, and the free ones that the agent allotted to it. Without allotment all
     * entries would use the same reported free slot, and all but the first request would wait inside the endpoint.
     *
     * @param priority the priority of the request's class, 0 is the most urgent
     * @param nowMillis the time on the monotonic clock
     * @return true also if the agent does not allot slots or has not reported recently
     */
    public boolean hasAllottedSlot(int priority, long nowMillis) {
        return !contact.hasRecentReport(nowMillis)
                || slotLimits.allow(priority, inFlight - inFlightWhenReported, report.allottedSlots());
    }

    // -- backoff

    /**
     * Returns the backoff that the endpoint has asked for.
     *
     * @return the mutable backoff
     */
    public Backoff backoff() {
        return backoff;
    }

    /**
     * Returns whether the endpoint's backoff allows one more request of this entry.
     *
     * @param nowMillis the time on the monotonic clock
     * @return false during the backoff, and after it while the ramp-up limit is reached
     */
    public boolean backoffAllows(long nowMillis) {
        return backoff.allows(inFlight, nowMillis);
    }

    // -- rate limit

    /**
     * Returns the rate limit that the endpoint applies to all entries together.
     *
     * @return the mutable rate limit
     */
    public EndpointRateLimit rateLimit() {
        return rateLimit;
    }

    /**
     * Returns the limit that applies while the endpoint is cold.
     *
     * @return the mutable limit
     */
    public ColdLimit coldLimit() {
        return coldLimit;
    }

    /**
     * Records the entry's rank, by which it gets its shares of the endpoint's limits.
     *
     * @param rank the rank as reported by the endpoint's agent
     */
    public void rankReported(EntryRank rank) {
        rateLimit.rankReported(rank);
        coldLimit.rankReported(rank);
    }

    /**
     * Returns whether this entry's quota share allows a request now.
     *
     * @param nowMillis the time on the monotonic clock
     * @return true also if there is no rate limit
     */
    public boolean rateLimitAllows(long nowMillis) {
        return rateLimit.allows(contact.hasRecentReport(nowMillis), nowMillis);
    }

    /**
     * Returns the time until this entry's quota share allows a request.
     *
     * @param nowMillis the time on the monotonic clock
     * @return milliseconds, 0 also if there is no rate limit; empty if the limit is left to other entries
     */
    public OptionalLong untilRateLimitAllowsMillis(long nowMillis) {
        return rateLimit.untilNextRequestMillis(contact.hasRecentReport(nowMillis), nowMillis);
    }

    // -- speed

    /**
     * Returns the endpoint's speed.
     *
     * @return the mutable speed
     */
    public EndpointSpeed speed() {
        return speed;
    }

    /**
     * Returns for how long the endpoint's streams have been silent.
     *
     * @return the mutable silence
     */
    public StreamSilence silence() {
        return silence;
    }

    /**
     * Returns what is known of the endpoint's memory.
     *
     * @return the mutable memory
     */
    public EndpointMemory memory() {
        return memory;
    }

    // -- failures

    /**
     * Returns the recent failures of the endpoint.
     *
     * @return the mutable failures
     */
    public FailureTracker failures() {
        return failures;
    }
}
