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
public final class CrashBook {

    private static final Logger LOG = LoggerFactory.getLogger(CrashBook.class);

    /** Maximum number of requests remembered per crash: more than an endpoint runs and queues. */
    private static final int MOST_ABOARD = 256;

    private final long memoryMillis;
    private final int most;
    private final IntSupplier endpoints;

    /** The crashes in the order in which they became known. */
    private final Map<String, Known> crashes = new LinkedHashMap<>();

    /** For each request, the crashes at which no part of its response had arrived. */
    private final Map<RequestDigest, Set<String>> unbegun = new HashMap<>();

    /** For each request, all crashes at which it was in flight. */
    private final Map<RequestDigest, Set<String>> present = new HashMap<>();

    private Map<RequestDigest, Set<String>> culprits = Map.of();

    /** The quick digests of all requests that were in flight at a crash. */
    private volatile Set<Integer> quick = Set.of();

    private record Known(Set<RequestDigest> present, Set<RequestDigest> cleared, long atMillis) {

        private boolean takes(RequestDigest request) {
            return present.size() + cleared.size() < MOST_ABOARD && !cleared.contains(request);
        }

        private void clear(RequestDigest request) {
            present.remove(request);
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
    public CrashBook(long memoryMillis, int most, IntSupplier endpoints) {
        this.memoryMillis = memoryMillis;
        this.most = most;
        this.endpoints = Objects.requireNonNull(endpoints, "endpoints is null");
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
        Known known = crashes.computeIfAbsent(
                crash.endpoint(), endpoint -> new Known(new HashSet<>(), new HashSet<>(), atMillis));
        for (RequestDigest request : crash.aboard()) {
            if (was(known, request, crash.endpoint())) {
                add(unbegun, request, crash.endpoint());
            }
        }
        crash.begun().forEach(request -> was(known, request, crash.endpoint()));
        if (crashes.size() > most) {
            forget(crashes.keySet().iterator().next());
        }
        findCulprits();
    }

    private boolean was(Known known, RequestDigest request, String endpoint) {
        return known.takes(request) && known.present().add(request) && add(present, request, endpoint);
    }

    private static boolean add(Map<RequestDigest, Set<String>> of, RequestDigest request, String endpoint) {
        return of.computeIfAbsent(request, key -> new HashSet<>()).add(endpoint);
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
        Set<String> suspected = Optional.ofNullable(unbegun.remove(request)).orElse(Set.of());
        Set<String> at = whole ? present.remove(request) : null;
        if (at != null) {
            at.stream().map(crashes::get).forEach(known -> known.clear(request));
        }
        if (at != null || !suspected.isEmpty()) {
            findCulprits();
        }
        return suspected.size();
    }

    /**
     * Applies an update of another process.
     *
     * @param update the update
     * @param atMillis the time of the event on the monotonic clock
     */
    public void take(CrashNews news, long atMillis) {
        switch (news) {
            case CrashNews.Crashed(EndpointCrash crash) -> crashed(crash, atMillis);
            case CrashNews.Cleared(RequestDigest request, boolean whole) -> cleared(request, whole);
        }
    }

    /**
     * Removes expired crashes.
     *
     * @param nowMillis the time on the monotonic clock
     */
    public synchronized void forgetOld(long nowMillis) {
        List<String> old = crashes.entrySet().stream()
                .map(Map.Entry::getKey)
                .filter(endpoint -> nowMillis - countsFromMillis(endpoint) >= memoryMillis)
                .toList();
        old.forEach(this::forget);
        if (!old.isEmpty()) {
            findCulprits();
        }
    }

    /**
     * Returns the time from which a crash is remembered. A crash attributed to a poison request counts from the last
     * crash of that request.
     */
    private long countsFromMillis(String endpoint) {
        return culprits.values().stream()
                .filter(explained -> explained.contains(endpoint))
                .mapToLong(this::lastMillis)
                .max()
                .orElse(crashes.get(endpoint).atMillis());
    }

    private void forget(String endpoint) {
        for (RequestDigest request : crashes.remove(endpoint).present()) {
            remove(unbegun, request, endpoint);
            remove(present, request, endpoint);
        }
    }

    private static void remove(Map<RequestDigest, Set<String>> of, RequestDigest request, String endpoint) {
        of.computeIfPresent(request, (same, at) -> {
            at.remove(endpoint);
            return at.isEmpty() ? null : at;
        });
    }

    private void findCulprits() {
        quick = present.keySet().stream().map(RequestDigest::quick).collect(Collectors.toUnmodifiableSet());
        boolean enough = present.values().stream().anyMatch(at -> at.size() >= Culprits.LEAST_CRASHES);
        Map<RequestDigest, Set<String>> before = culprits;
        culprits = enough ? Culprits.of(evidence(), endpoints.getAsInt()) : Map.of();
        tellChange(before);
    }

    private void tellChange(Map<RequestDigest, Set<String>> before) {
        culprits.forEach((request, at) -> {
            if (!before.containsKey(request)) {
                LOG.warn("event=culprit_found digest={} crashes={} endpoints={}", request, at.size(), at);
            }
        });
        before.keySet().stream()
                .filter(request -> !culprits.containsKey(request))
                .forEach(request ->
                        LOG.info("event=culprit_cleared digest={} crashesKnown={}", request, crashes.size()));
    }

    /**
     * Determines the crashes that count against each request. If part of the response had arrived, the endpoint had
     * survived the start of the request; such crashes count only against requests with fewer than three others.
     */
    private Culprits.Evidence evidence() {
        Map<RequestDigest, Set<String>> counted = new HashMap<>(unbegun);
        Set<RequestDigest> begun = new HashSet<>();
        present.forEach((request, at) -> {
            boolean enough = unbegun.getOrDefault(request, Set.of()).size() >= Culprits.LEAST_CRASHES;
            if (!enough && at.size() > Culprits.LEAST_CRASHES) {
                counted.put(request, at);
                begun.add(request);
            }
        });
        return new Culprits.Evidence(counted, begun, times());
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
    public boolean suspectsAny() {
        return !quick.isEmpty();
    }

    /**
     * Returns whether a request may have been in flight at a crash. If not, its full digest need not be computed.
     *
     * @param request the request's digest
     * @return false if no request involved in a crash has the same quick digest
     */
    public boolean mayKnow(LazyDigest request) {
        Set<Integer> known = quick;
        return !known.isEmpty() && known.contains(request.quick());
    }

    /**
     * Returns how strongly a request is suspected of causing crashes.
     *
     * @param request the request
     * @param nowMillis the time on the monotonic clock
     * @return the level of suspicion
     */
    public synchronized Standing standing(RequestDigest request, long nowMillis) {
        Set<String> explained = culprits.get(Objects.requireNonNull(request, "request is null"));
        if (explained != null) {
            long left = memoryMillis - (nowMillis - lastMillis(explained));
            return left > 0 ? new Standing.Refused(explained.size(), left) : new Standing.Unsuspected();
        }
        int unexplained = unexplained(request);
        return unexplained == 0 ? new Standing.Unsuspected() : new Standing.Suspected(unexplained);
    }

    private long lastMillis(Set<String> crashedEndpoints) {
        return crashedEndpoints.stream()
                .mapToLong(endpoint -> crashes.get(endpoint).atMillis())
                .max()
                .orElseThrow();
    }

    private int unexplained(RequestDigest request) {
        return (int) unbegun.getOrDefault(request, Set.of()).stream()
                .filter(endpoint -> culprits.values().stream().noneMatch(explained -> explained.contains(endpoint)))
                .count();
    }

    /**
     * Returns the requests that are refused as poison requests.
     *
     * @return their digests
     */
    public synchronized Set<RequestDigest> refused() {
        return Set.copyOf(culprits.keySet());
    }

    /**
     * Returns the number of crashes remembered.
     *
     * @return the number of crashes
     */
    public synchronized int known() {
        return crashes.size();
    }
}
