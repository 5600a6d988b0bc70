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
 * The crashes of endpoints that a process knows of, and what follows from them for requests. A request that was answered is
 * cleared of what was known until then, since one that ends endpoints never has an answer. Safe for any number of threads.
 */
public final class CrashRegistry {

    private static final Logger LOG = LoggerFactory.getLogger(CrashRegistry.class);

    /** The most requests of one crash that are remembered: more than an endpoint runs and has waiting. */
    private static final int MOST_ABOARD = 256;

    private final long memoryMillis;
    private final int most;
    private final IntSupplier endpoints;

    /** The crashes in the order in which they were learned of. */
    private final Map<String, Known> crashes = new LinkedHashMap<>();

    /** At which crashes each request was without a part of an answer. */
    private final Map<RequestDigest, Set<String>> unbegun = new HashMap<>();

    /** At which crashes each request was at all. */
    private final Map<RequestDigest, Set<String>> present = new HashMap<>();

    private Map<RequestDigest, Set<String>> culprits = Map.of();

    /** The quick parts of all requests that were at a crash. */
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
     * Begins with no crash.
     *
     * @param memoryMillis for how long a crash is remembered, and a culprit refused after its last, in milliseconds
     * @param most how many crashes are remembered at the most; the oldest go first
     * @param endpoints how many endpoints there are
     */
    public CrashRegistry(long memoryMillis, int most, IntSupplier endpoints) {
        this.memoryMillis = memoryMillis;
        this.most = most;
        this.endpoints = Objects.requireNonNull(endpoints, "endpoints is null");
    }

    // -- what happens

    /**
     * An endpoint crashed, or more is known of a crash.
     *
     * @param crash the crash
     * @param atMillis when it was, on the steady clock
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
     * An endpoint answered a request, so that this did not cause the crashes that are known by now. A part of an answer tells so of those
     * crashes at which no part had come.
     *
     * @param request the request
     * @param whole whether the answer came whole
     * @return at how many crashes it had been without a part of an answer
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
     * Takes what another process tells.
     *
     * @param news what it tells
     * @param atMillis when it was, on the steady clock
     */
    public void take(CrashUpdate news, long atMillis) {
        switch (news) {
            case CrashUpdate.Crashed(EndpointCrash crash) -> crashed(crash, atMillis);
            case CrashUpdate.Cleared(RequestDigest request, boolean whole) -> cleared(request, whole);
        }
    }

    /**
     * Forgets what is too old.
     *
     * @param nowMillis the time on the steady clock
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

    /** Since when a crash is to be remembered: one that a culprit explains, since the last of the culprit's. */
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
        boolean enough = present.values().stream().anyMatch(at -> at.size() >= PoisonRequestDetector.LEAST_CRASHES);
        Map<RequestDigest, Set<String>> before = culprits;
        culprits = enough ? PoisonRequestDetector.of(evidence(), endpoints.getAsInt()) : Map.of();
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
     * The crashes that count against each request. An endpoint has borne the beginning of a request of whose answer a part had come;
     * such crashes count only against a request that has no three without.
     */
    private PoisonRequestDetector.Evidence evidence() {
        Map<RequestDigest, Set<String>> counted = new HashMap<>(unbegun);
        Set<RequestDigest> begun = new HashSet<>();
        present.forEach((request, at) -> {
            boolean enough = unbegun.getOrDefault(request, Set.of()).size() >= PoisonRequestDetector.LEAST_CRASHES;
            if (!enough && at.size() > PoisonRequestDetector.LEAST_CRASHES) {
                counted.put(request, at);
                begun.add(request);
            }
        });
        return new PoisonRequestDetector.Evidence(counted, begun, times());
    }

    private Map<String, Long> times() {
        Map<String, Long> times = new HashMap<>();
        crashes.forEach((endpoint, known) -> times.put(endpoint, known.atMillis()));
        return times;
    }

    // -- what follows

    /**
     * Whether any request is suspected. Where none is, no request has to be recognised.
     *
     * @return false if no crash is known at which a request was
     */
    public boolean suspectsAny() {
        return !quick.isEmpty();
    }

    /**
     * Whether a request may have been at a crash. Where it surely was at none, its whole digest is not needed.
     *
     * @param request the request's digest
     * @return false if no request at any crash has the same quick part
     */
    public boolean mayKnow(LazyDigest request) {
        Set<Integer> known = quick;
        return !known.isEmpty() && known.contains(request.quick());
    }

    /**
     * What is held of a request.
     *
     * @param request the request
     * @param nowMillis the time on the steady clock
     * @return its standing
     */
    public synchronized SuspicionLevel standing(RequestDigest request, long nowMillis) {
        Set<String> explained = culprits.get(Objects.requireNonNull(request, "request is null"));
        if (explained != null) {
            long left = memoryMillis - (nowMillis - lastMillis(explained));
            return left > 0 ? new SuspicionLevel.Refused(explained.size(), left) : new SuspicionLevel.Unsuspected();
        }
        int unexplained = unexplained(request);
        return unexplained == 0 ? new SuspicionLevel.Unsuspected() : new SuspicionLevel.Suspected(unexplained);
    }

    private long lastMillis(Set<String> endpoints) {
        return endpoints.stream()
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
     * The requests that are refused.
     *
     * @return their digests
     */
    public synchronized Set<RequestDigest> refused() {
        return Set.copyOf(culprits.keySet());
    }

    /**
     * The crashes that are remembered.
     *
     * @return their number
     */
    public synchronized int known() {
        return crashes.size();
    }
}
