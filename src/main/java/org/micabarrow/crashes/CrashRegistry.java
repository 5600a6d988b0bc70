package org.micabarrow.crashes;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;

/**
 * The endpoint crashes that a process knows of, and the poison requests inferred from them. A request that was answered
 * is cleared of all crashes known by then, since a poison request never gets a response. Thread-safe.
 */
public final class CrashRegistry {

    /** Maximum number of requests remembered per crash: more than an endpoint runs and queues. */
    private static final int MAX_REQUESTS_PER_CRASH = 256;

    private final long memoryMillis;
    private final int maxCrashes;
    private final PoisonRequests poisonRequests;

    /** The latest time of any event, on the monotonic clock. */
    private long nowMillis = Long.MIN_VALUE;

    /** When all reports of the latest crash have arrived. */
    private long reportsCompleteMillis = Long.MIN_VALUE;

    /** Whether poison requests are to be detected again then. */
    private boolean reportsPending;

    /** The crashes in the order in which they became known. */
    private final Map<String, KnownCrash> crashes = new LinkedHashMap<>();

    /** For each request, the crashes at which no part of its response had arrived. */
    private final Map<RequestDigest, Set<String>> unanswered = new HashMap<>();

    /** For each request, all crashes at which it was in flight. */
    private final Map<RequestDigest, Set<String>> involved = new HashMap<>();

    /** The quick digests of all requests that were in flight at a crash. */
    private volatile Set<Integer> quickDigests = Set.of();

    private record KnownCrash(Set<RequestDigest> involved, Set<RequestDigest> cleared, long atMillis) {

        private boolean accepts(RequestDigest request) {
            return involved.size() + cleared.size() < MAX_REQUESTS_PER_CRASH && !cleared.contains(request);
        }

        private void clear(RequestDigest request) {
            involved.remove(request);
            cleared.add(request);
        }
    }

    /**
     * Creates a registry without crashes.
     *
     * @param memoryMillis the time for which a crash is remembered, and a poison request is refused after its last
     *     crash, in milliseconds
     * @param maxCrashes the maximum number of crashes remembered; the oldest are dropped first
     * @param endpointCount the number of endpoints
     */
    public CrashRegistry(long memoryMillis, int maxCrashes, IntSupplier endpointCount) {
        this.memoryMillis = memoryMillis;
        this.maxCrashes = maxCrashes;
        this.poisonRequests = new PoisonRequests(endpointCount);
    }

    // -- events

    /**
     * Records a crash of an endpoint, or further requests involved in a known crash.
     *
     * @param crash the crash
     * @param atMillis the time of the crash on the monotonic clock
     */
    public synchronized void crashed(EndpointCrash crash, long atMillis) {
        Objects.requireNonNull(crash, "crash is null");
        advance(atMillis);
        if (!crashes.containsKey(crash.endpoint())) {
            reportsCompleteMillis = Math.max(reportsCompleteMillis, atMillis + RecurrentRequests.REPORT_DELAY_MILLIS);
            reportsPending = true;
        }
        KnownCrash known = crashes.computeIfAbsent(
                crash.endpoint(), endpoint -> new KnownCrash(new HashSet<>(), new HashSet<>(), atMillis));
        for (RequestDigest request : crash.unanswered()) {
            if (addInvolved(known, request, crash.endpoint())) {
                add(unanswered, request, crash.endpoint());
            }
        }
        crash.partlyAnswered().forEach(request -> addInvolved(known, request, crash.endpoint()));
        if (crashes.size() > maxCrashes) {
            forget(crashes.keySet().iterator().next());
        }
        detectPoisonRequests();
    }

    private void advance(long millis) {
        nowMillis = Math.max(nowMillis, millis);
    }

    private boolean addInvolved(KnownCrash known, RequestDigest request, String endpoint) {
        return known.accepts(request) && known.involved().add(request) && add(involved, request, endpoint);
    }

    private static boolean add(
            Map<RequestDigest, Set<String>> crashesByRequest, RequestDigest request, String endpoint) {
        return crashesByRequest.computeIfAbsent(request, key -> new HashSet<>()).add(endpoint);
    }

    /**
     * Clears a request that an endpoint answered of the crashes known by now. Part of a response clears it only of
     * crashes at which no part had arrived.
     *
     * @param request the request
     * @param whole whether the response is complete
     * @return the number of crashes at which it had been without any part of a response
     */
    public synchronized int cleared(RequestDigest request, boolean whole) {
        Objects.requireNonNull(request, "request is null");
        Set<String> suspected = Optional.ofNullable(unanswered.remove(request)).orElse(Set.of());
        Set<String> crashedEndpoints = whole ? involved.remove(request) : null;
        if (crashedEndpoints != null) {
            crashedEndpoints.stream().map(crashes::get).forEach(known -> known.clear(request));
        }
        if (crashedEndpoints != null || !suspected.isEmpty()) {
            detectPoisonRequests();
        }
        return suspected.size();
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
            case CrashUpdate.Cleared(RequestDigest request, boolean whole) -> cleared(request, whole);
        }
    }

    /**
     * Removes expired crashes.
     *
     * @param nowMillis the time on the monotonic clock
     */
    public synchronized void expire(long nowMillis) {
        advance(nowMillis);
        List<String> expired = crashes.keySet().stream()
                .filter(endpoint -> nowMillis - rememberedFromMillis(endpoint) >= memoryMillis)
                .toList();
        expired.forEach(this::forget);
        if (!expired.isEmpty()) {
            detectPoisonRequests();
        }
    }

    /**
     * Returns the time from which a crash is remembered. A crash attributed to a poison request counts from the last
     * crash of that request.
     */
    private long rememberedFromMillis(String endpoint) {
        return poisonRequests
                .explaining(endpoint)
                .mapToLong(this::lastMillis)
                .max()
                .orElse(crashes.get(endpoint).atMillis());
    }

    private void forget(String endpoint) {
        for (RequestDigest request : crashes.remove(endpoint).involved()) {
            remove(unanswered, request, endpoint);
            remove(involved, request, endpoint);
        }
    }

    private static void remove(
            Map<RequestDigest, Set<String>> crashesByRequest, RequestDigest request, String endpoint) {
        crashesByRequest.computeIfPresent(request, (same, crashedEndpoints) -> {
            crashedEndpoints.remove(endpoint);
            return crashedEndpoints.isEmpty() ? null : crashedEndpoints;
        });
    }

    private void detectPoisonRequests() {
        quickDigests = involved.keySet().stream().map(RequestDigest::quick).collect(Collectors.toUnmodifiableSet());
        poisonRequests.detect(new PoisonRequests.Involvement(unanswered, involved, times()), nowMillis);
    }

    private Map<String, Long> times() {
        Map<String, Long> times = new HashMap<>();
        crashes.forEach((endpoint, known) -> times.put(endpoint, known.atMillis()));
        return times;
    }

    // -- queries

    /**
     * Returns whether any request is suspected. Otherwise no request digests need to be computed.
     *
     * @return false if no request was in flight at any known crash
     */
    public boolean hasSuspects() {
        return !quickDigests.isEmpty();
    }

    /**
     * Returns whether a request may have been in flight at a crash. If not, its full digest need not be computed.
     *
     * @param request the request's digest
     * @return false if no request involved in a crash has the same quick digest
     */
    public boolean mayBeSuspect(LazyDigest request) {
        Set<Integer> known = quickDigests;
        return !known.isEmpty() && known.contains(request.quick());
    }

    /**
     * Returns how strongly a request is suspected of causing crashes.
     *
     * @param request the request
     * @param nowMillis the time on the monotonic clock
     * @return the level of suspicion
     */
    public synchronized SuspicionLevel suspicion(RequestDigest request, long nowMillis) {
        Objects.requireNonNull(request, "request is null");
        advance(nowMillis);
        if (reportsPending && nowMillis >= reportsCompleteMillis) {
            reportsPending = false;
            detectPoisonRequests();
        }
        Optional<Set<String>> attributed = poisonRequests.crashes(request);
        if (attributed.isPresent()) {
            long left = memoryMillis - (nowMillis - lastMillis(attributed.get()));
            return left > 0
                    ? new SuspicionLevel.Refused(attributed.get().size(), left)
                    : new SuspicionLevel.Unsuspected();
        }
        Set<String> own = unanswered.getOrDefault(request, Set.of());
        int unexplained = unexplained(own);
        return unexplained == 0
                ? new SuspicionLevel.Unsuspected()
                : new SuspicionLevel.Suspected(unexplained, untilReportedMillis(own));
    }

    private long untilReportedMillis(Set<String> crashedEndpoints) {
        return Math.max(0, lastMillis(crashedEndpoints) + RecurrentRequests.REPORT_DELAY_MILLIS - nowMillis);
    }

    private long lastMillis(Set<String> crashedEndpoints) {
        return crashedEndpoints.stream()
                .mapToLong(endpoint -> crashes.get(endpoint).atMillis())
                .max()
                .orElseThrow();
    }

    private int unexplained(Set<String> crashedEndpoints) {
        return (int) crashedEndpoints.stream()
                .filter(endpoint ->
                        poisonRequests.explaining(endpoint).findAny().isEmpty())
                .count();
    }

    /**
     * Returns the requests that are refused as poison requests.
     *
     * @return their digests
     */
    public synchronized Set<RequestDigest> refused() {
        return poisonRequests.digests();
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
