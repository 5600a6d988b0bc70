package org.micabarrow.crashes;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The crashes that a process remembers, with the causes that were involved in each and have not been cleared of it. Not
 * thread-safe: guarded by its {@link CrashRegistry}.
 */
final class KnownCrashes {

    /** The crashes in the order in which they became known. */
    private final Map<String, KnownCrash> byEndpoint = new LinkedHashMap<>();

    /** For each cause, the crashes at which no part of a response to it had arrived. */
    private final Map<Cause, Set<String>> unanswered = new HashMap<>();

    /** For each cause, all crashes at which it was in flight. */
    private final Map<Cause, Set<String>> involved = new HashMap<>();

    /** The shared parts of the prompts of the requests that were in flight. */
    private final Map<RequestDigest, Set<PromptPart>> parts = new HashMap<>();

    // -- changes

    /** Adds a crash, or further requests that were involved in a known one; returns whether it was unknown. */
    boolean add(EndpointCrash crash, long atMillis) {
        boolean isNew = !byEndpoint.containsKey(crash.endpoint());
        byEndpoint.computeIfAbsent(crash.endpoint(), endpoint -> new KnownCrash(atMillis));
        crash.unanswered().forEach(request -> addUnanswered(crash, request));
        crash.partlyAnswered().forEach(request -> addPartlyAnswered(crash, request));
        return isNew;
    }

    private void addUnanswered(EndpointCrash crash, RequestDigest request) {
        addInvolved(crash, request).forEach(cause -> add(unanswered, cause, crash.endpoint()));
    }

    /** The endpoint had survived the parts of such a request's prompt, whatever other requests with them were there. */
    private void addPartlyAnswered(EndpointCrash crash, RequestDigest request) {
        addInvolved(crash, request);
        crash.partsOf(request).forEach(part -> remove(unanswered, part, crash.endpoint()));
    }

    /** Adds the causes in a request, and returns those that were not known to be involved. */
    private List<Cause> addInvolved(EndpointCrash crash, RequestDigest request) {
        Set<PromptPart> own = crash.partsOf(request);
        if (!own.isEmpty()) {
            parts.computeIfAbsent(request, key -> new HashSet<>()).addAll(own);
        }
        KnownCrash known = byEndpoint.get(crash.endpoint());
        List<Cause> added = causes(crash, request).filter(known::add).toList();
        added.forEach(cause -> add(involved, cause, crash.endpoint()));
        return added;
    }

    private static Stream<Cause> causes(EndpointCrash crash, RequestDigest request) {
        return Stream.concat(Stream.of(request), crash.partsOf(request).stream());
    }

    private static void add(Map<Cause, Set<String>> crashesByCause, Cause cause, String endpoint) {
        crashesByCause.computeIfAbsent(cause, key -> new HashSet<>()).add(endpoint);
    }

    /**
     * Clears a cause of the crashes at which no part of a response to it had arrived.
     *
     * @return the number of these crashes
     */
    int clearUnanswered(Cause cause) {
        return Optional.ofNullable(unanswered.remove(cause)).map(Set::size).orElse(0);
    }

    /**
     * Clears a cause of all crashes.
     *
     * @return whether there were any
     */
    boolean clear(Cause cause) {
        unanswered.remove(cause);
        Optional<Set<String>> crashes = Optional.ofNullable(involved.remove(cause));
        crashes.stream().flatMap(Set::stream).map(byEndpoint::get).forEach(known -> known.clear(cause));
        return crashes.isPresent();
    }

    void forgetOldest() {
        forget(byEndpoint.keySet().iterator().next());
    }

    void forget(String endpoint) {
        KnownCrash forgotten = byEndpoint.remove(endpoint);
        for (Cause cause : forgotten.involved()) {
            remove(unanswered, cause, endpoint);
            remove(involved, cause, endpoint);
        }
        forgotten.requests().stream().filter(request -> !isRemembered(request)).forEach(parts::remove);
    }

    private boolean isRemembered(RequestDigest request) {
        return byEndpoint.values().stream().anyMatch(known -> known.requests().contains(request));
    }

    private static void remove(Map<Cause, Set<String>> crashesByCause, Cause cause, String endpoint) {
        crashesByCause.computeIfPresent(cause, (same, crashedEndpoints) -> {
            crashedEndpoints.remove(endpoint);
            return crashedEndpoints.isEmpty() ? null : crashedEndpoints;
        });
    }

    // -- queries

    int size() {
        return byEndpoint.size();
    }

    List<String> endpoints() {
        return List.copyOf(byEndpoint.keySet());
    }

    long atMillis(String endpoint) {
        return byEndpoint.get(endpoint).atMillis();
    }

    /** Returns the time of the last of some crashes, of which there must be one. */
    long lastMillis(Set<String> endpoints) {
        return endpoints.stream().mapToLong(this::atMillis).max().orElseThrow();
    }

    /** Returns the crashes of a cause at which no part of a response to it had arrived. */
    Set<String> unanswered(Cause cause) {
        return Collections.unmodifiableSet(unanswered.getOrDefault(cause, Set.of()));
    }

    boolean isInvolved(Cause cause) {
        return involved.containsKey(cause);
    }

    Set<Cause> involvedCauses() {
        return Collections.unmodifiableSet(involved.keySet());
    }

    /**
     * Returns a view of all causes and their crashes.
     *
     * @param answeredParts the parts of prompts on which endpoints have answered at any time
     */
    PoisonCauses.Involvement involvement(Set<Cause> answeredParts) {
        Map<String, Long> times = new HashMap<>();
        byEndpoint.forEach((endpoint, known) -> times.put(endpoint, known.atMillis()));
        return new PoisonCauses.Involvement(unanswered, involved, answeredParts, times, parts);
    }
}
