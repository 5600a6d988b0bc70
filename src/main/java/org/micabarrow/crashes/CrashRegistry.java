package org.micabarrow.crashes;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;

/**
 * The endpoint crashes that a process knows of, and the poison causes inferred from them. A cause on which an endpoint
 * has answered is cleared of all crashes known by then, since a request with a poison cause never gets a response. A
 * part of prompts on which endpoints have answered before is refused only after more crashes, and never isolated, since
 * nearly all requests may hold it. Thread-safe.
 */
public final class CrashRegistry {

    private static final SuspicionLevel UNSUSPECTED = new SuspicionLevel.Unsuspected();

    private final long memoryMillis;
    private final int maxCrashes;
    private final KnownCrashes crashes = new KnownCrashes();
    private final AnsweredParts answeredParts = new AnsweredParts();
    private final PoisonCauses poisonCauses;

    /** The latest time of any event, on the monotonic clock. */
    private long nowMillis = Long.MIN_VALUE;

    /** When all reports of the latest crash have arrived. */
    private long reportsCompleteMillis = Long.MIN_VALUE;

    /** Whether poison causes are to be detected again then. */
    private boolean reportsPending;

    private volatile SuspectFilter filter = SuspectFilter.NONE;

    /**
     * Creates a registry without crashes.
     *
     * @param memoryMillis the time for which a crash is remembered, and a poison cause is refused after its last crash,
     *     in milliseconds
     * @param maxCrashes the maximum number of crashes remembered; the oldest are dropped first
     * @param endpointCount the number of endpoints
     */
    public CrashRegistry(long memoryMillis, int maxCrashes, IntSupplier endpointCount) {
        this.memoryMillis = memoryMillis;
        this.maxCrashes = maxCrashes;
        this.poisonCauses = new PoisonCauses(endpointCount);
    }

    // -- crashes

    /**
     * Records a crash of an endpoint, or further requests involved in a known crash.
     *
     * @param crash the crash
     * @param atMillis the time of the crash on the monotonic clock
     */
    public synchronized void crashed(EndpointCrash crash, long atMillis) {
        Objects.requireNonNull(crash, "crash is null");
        advance(atMillis);
        if (crashes.add(crash, atMillis)) {
            reportsCompleteMillis = Math.max(reportsCompleteMillis, atMillis + RecurrentCauses.REPORT_DELAY_MILLIS);
            reportsPending = true;
        }
        if (crashes.size() > maxCrashes) {
            crashes.forgetOldest();
        }
        detectPoisonCauses();
    }

    private void advance(long millis) {
        nowMillis = Math.max(nowMillis, millis);
    }

    /**
     * Applies an update of another process.
     *
     * @param update the update
     * @param atMillis the time of the event on the monotonic clock
     */
    public void apply(CrashUpdate update, long atMillis) {
        switch (update) {
            case CrashUpdate.Crashed(EndpointCrash crash) -> crashed(crash, atMillis);
            case CrashUpdate.Cleared(Cause cause, boolean whole) -> cleared(cause, whole);
        }
    }

    /**
     * Removes expired crashes.
     *
     * @param nowMillis the time on the monotonic clock
     */
    public synchronized void expire(long nowMillis) {
        advance(nowMillis);
        List<String> expired = crashes.endpoints().stream()
                .filter(endpoint -> nowMillis - rememberedFromMillis(endpoint) >= memoryMillis)
                .toList();
        expired.forEach(crashes::forget);
        if (!expired.isEmpty()) {
            detectPoisonCauses();
        }
    }

    /**
     * Returns the time from which a crash is remembered. A crash attributed to a poison cause counts from the last
     * crash of that cause.
     */
    private long rememberedFromMillis(String endpoint) {
        return poisonCauses
                .explaining(endpoint)
                .mapToLong(poison -> crashes.lastMillis(poison.crashes()))
                .max()
                .orElse(crashes.atMillis(endpoint));
    }

    private void detectPoisonCauses() {
        Set<Cause> answered = crashes.involvedCauses().stream()
                .filter(answeredParts::contains)
                .collect(Collectors.toUnmodifiableSet());
        poisonCauses.detect(crashes.involvement(answered), nowMillis);
        Set<Cause> suspects = new HashSet<>(crashes.involvedCauses());
        suspects.removeAll(answered);
        suspects.addAll(poisonCauses.all());
        filter = SuspectFilter.of(crashes.involvedCauses(), suspects);
    }

    // -- responses

    /**
     * Records that an endpoint responded to a request, which clears its causes of the crashes known by now. Part of a
     * response clears only of crashes at which no part had arrived.
     *
     * @param request the request
     * @param whole whether the response is complete
     * @return the causes of whose clearing other processes must know
     */
    public Set<Cause> answered(RequestCauses request, boolean whole) {
        Objects.requireNonNull(request, "request is null");
        boolean isNews = whole && !request.parts().isEmpty();
        return isNews || filter.mayBeInvolved(request) ? recordAnswer(request, whole) : Set.of();
    }

    private synchronized Set<Cause> recordAnswer(RequestCauses request, boolean whole) {
        Set<Cause> toPublish = new HashSet<>();
        if (filter.containsDigest(request) && cleared(request.digest(), whole) > 0) {
            toPublish.add(request.digest());
        }
        for (PromptPart part : request.parts()) {
            // Part of a response is not published, since hundreds of requests a second may share the part.
            if (whole && crashes.isInvolved(part)) {
                toPublish.add(part);
            }
            cleared(part, whole);
        }
        return toPublish;
    }

    /**
     * Clears a cause on which an endpoint answered of the crashes known by now.
     *
     * @param cause the cause
     * @param whole whether the response is complete; if not, it clears only of crashes at which no part had arrived
     * @return the number of crashes at which it had been without any part of a response
     */
    public synchronized int cleared(Cause cause, boolean whole) {
        Objects.requireNonNull(cause, "cause is null");
        if (whole && cause instanceof PromptPart part) {
            answeredParts.add(part);
        }
        int unanswered = crashes.clearUnanswered(cause);
        boolean changed = whole && crashes.clear(cause);
        if (changed || unanswered > 0) {
            detectPoisonCauses();
        }
        return unanswered;
    }

    // -- queries

    /**
     * Returns whether any request may be suspected. Otherwise no request digests need to be computed.
     *
     * @return false if no request was in flight at any known crash
     */
    public boolean hasSuspects() {
        return !filter.isEmpty();
    }

    /**
     * Returns whether a request may hold a suspected cause. If not, its full digest need not be computed.
     *
     * @param request the request
     * @return false if no request involved in a crash has the same quick digest, and no part of its prompt is suspected
     */
    public boolean mayBeSuspect(RequestCauses request) {
        return filter.mayBeSuspect(request);
    }

    /**
     * Returns how strongly a request is suspected of causing crashes.
     *
     * @param request the request
     * @param nowMillis the time on the monotonic clock
     * @return the level of suspicion
     */
    public synchronized SuspicionLevel suspicion(RequestCauses request, long nowMillis) {
        Objects.requireNonNull(request, "request is null");
        advance(nowMillis);
        if (reportsPending && nowMillis >= reportsCompleteMillis) {
            reportsPending = false;
            detectPoisonCauses();
        }
        Optional<SuspicionLevel.Refused> refused = poisonCauses
                .in(request)
                .map(this::refused)
                .max(Comparator.comparingLong(SuspicionLevel.Refused::forMillis));
        if (refused.isEmpty()) {
            return suspected(request);
        }
        return refused.get().forMillis() > 0 ? refused.get() : UNSUSPECTED;
    }

    private SuspicionLevel.Refused refused(PoisonCause poison) {
        long sinceLastMillis = nowMillis - crashes.lastMillis(poison.crashes());
        return new SuspicionLevel.Refused(poison.causes(), poison.crashes().size(), memoryMillis - sinceLastMillis);
    }

    /** Returns the level of the most suspected cause; a part of the prompt if it was involved as often as the request. */
    private SuspicionLevel suspected(RequestCauses request) {
        SuspicionLevel level = UNSUSPECTED;
        int most = 0;
        for (PromptPart part : request.parts()) {
            int unexplained = answeredParts.contains(part) ? 0 : unexplained(part);
            if (unexplained > most) {
                most = unexplained;
                level = new SuspicionLevel.Suspected(part, unexplained, untilReportedMillis(part));
            }
        }
        int own = filter.containsDigest(request) ? unexplained(request.digest()) : 0;
        return own > most
                ? new SuspicionLevel.Suspected(request.digest(), own, untilReportedMillis(request.digest()))
                : level;
    }

    private long untilReportedMillis(Cause cause) {
        long lastMillis = crashes.lastMillis(crashes.unanswered(cause));
        return Math.max(0, lastMillis + RecurrentCauses.REPORT_DELAY_MILLIS - nowMillis);
    }

    /** Returns the number of a cause's crashes that no other poison cause explains. */
    private int unexplained(Cause cause) {
        return (int) crashes.unanswered(cause).stream()
                .filter(endpoint -> poisonCauses
                        .explaining(endpoint)
                        .allMatch(poison -> poison.causes().contains(cause)))
                .count();
    }

    /**
     * Returns the poison causes.
     *
     * @return the causes; several that cannot be told apart are listed each
     */
    public synchronized Set<Cause> refused() {
        return poisonCauses.all();
    }

    /**
     * Returns the number of crashes remembered.
     *
     * @return the number of crashes
     */
    public synchronized int crashCount() {
        return crashes.size();
    }
}
