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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The endpoint crashes that a process knows of, and the poison requests inferred from them. A request that was answered
 * is cleared of all crashes known by then, since a poison request never gets a response. Thread-safe.
 */
public final class CrashRegistry {

    private static final Logger LOG = LoggerFactory.getLogger(CrashRegistry.class);

    /** Maximum number of requests remembered per crash: more than an endpoint runs and queues. */
    private static final int MAX_REQUESTS_PER_CRASH = 256;

    private final long memoryMillis;
    private final int maxCrashes;
    private final IntSupplier endpointCount;

    /** The crashes in the order in which they became known. */
    private final Map<String, KnownCrash> crashes = new LinkedHashMap<>();

    /** For each request, the crashes at which no part of its response had arrived. */
    private final Map<RequestDigest, Set<String>> unanswered = new HashMap<>();

    /** For each request, all crashes at which it was in flight. */
    private final Map<RequestDigest, Set<String>> involved = new HashMap<>();

    private Map<RequestDigest, Set<String>> poisonRequests = Map.of();

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
        this.endpointCount = Objects.requireNonNull(endpointCount, "endpointCount is null");
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
        List<String> expired = crashes.entrySet().stream()
                .map(Map.Entry::getKey)
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
        return poisonRequests.values().stream()
                .filter(explained -> explained.contains(endpoint))
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
        boolean enough = involved.values().stream()
                .anyMatch(crashedEndpoints -> crashedEndpoints.size() >= PoisonRequestDetector.MIN_CRASHES);
        Map<RequestDigest, Set<String>> before = poisonRequests;
        poisonRequests = enough ? PoisonRequestDetector.detect(evidence(), endpointCount.getAsInt()) : Map.of();
        logChanges(before);
    }

    private void logChanges(Map<RequestDigest, Set<String>> before) {
        poisonRequests.forEach((request, crashedEndpoints) -> {
            if (!before.containsKey(request)) {
                LOG.warn(
                        "event=culprit_found digest={} crashes={} endpoints={}",
                        request,
                        crashedEndpoints.size(),
                        crashedEndpoints);
            }
        });
        before.keySet().stream()
                .filter(request -> !poisonRequests.containsKey(request))
                .forEach(request ->
                        LOG.info("event=culprit_cleared digest={} crashesKnown={}", request, crashes.size()));
    }

    /**
     * Determines the crashes that count against each request. If part of the response had arrived, the endpoint had
     * survived the start of the request; such crashes count only against requests with fewer than three others.
     */
    private PoisonRequestDetector.Evidence evidence() {
        Map<RequestDigest, Set<String>> counted = new HashMap<>(unanswered);
        Set<RequestDigest> partlyAnswered = new HashSet<>();
        involved.forEach((request, crashedEndpoints) -> {
            boolean enough = unanswered.getOrDefault(request, Set.of()).size() >= PoisonRequestDetector.MIN_CRASHES;
            if (!enough && crashedEndpoints.size() > PoisonRequestDetector.MIN_CRASHES) {
                counted.put(request, crashedEndpoints);
                partlyAnswered.add(request);
            }
        });
        return new PoisonRequestDetector.Evidence(counted, partlyAnswered, times());
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
        Set<String> explained = poisonRequests.get(Objects.requireNonNull(request, "request is null"));
        if (explained != null) {
            long left = memoryMillis - (nowMillis - lastMillis(explained));
            return left > 0 ? new SuspicionLevel.Refused(explained.size(), left) : new SuspicionLevel.Unsuspected();
        }
        int unexplained = unexplained(request);
        return unexplained == 0 ? new SuspicionLevel.Unsuspected() : new SuspicionLevel.Suspected(unexplained);
    }

    private long lastMillis(Set<String> crashedEndpoints) {
        return crashedEndpoints.stream()
                .mapToLong(endpoint -> crashes.get(endpoint).atMillis())
                .max()
                .orElseThrow();
    }

    private int unexplained(RequestDigest request) {
        return (int) unanswered.getOrDefault(request, Set.of()).stream()
                .filter(endpoint ->
                        poisonRequests.values().stream().noneMatch(explained -> explained.contains(endpoint)))
                .count();
    }

    /**
     * Returns the requests that are refused as poison requests.
     *
     * @return their digests
     */
    public synchronized Set<RequestDigest> refused() {
        return Set.copyOf(poisonRequests.keySet());
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
