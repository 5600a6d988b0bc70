package org.micabarrow.crashes;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The poison requests inferred from the known crashes, with the crashes attributed to each. A request whose own crashes
 * prove it to be poison remains so until it is answered or its crashes expire, whatever is learned of other requests.
 * Not thread-safe: guarded by its {@link CrashRegistry}.
 */
final class PoisonRequests {

    private static final Logger LOG = LoggerFactory.getLogger(CrashRegistry.class);

    private final IntSupplier endpointCount;
    private Map<RequestDigest, Set<String>> attributed = Map.of();
    private Set<RequestDigest> proven = Set.of();

    PoisonRequests(IntSupplier endpointCount) {
        this.endpointCount = Objects.requireNonNull(endpointCount, "endpointCount is null");
    }

    /**
     * The crashes that count against each request.
     *
     * @param unanswered for each request, the crashes since any part of a response to it
     * @param involved for each request, the crashes since its last complete response
     * @param times the time of each crash on the monotonic clock, in milliseconds
     */
    record Involvement(
            Map<RequestDigest, Set<String>> unanswered,
            Map<RequestDigest, Set<String>> involved,
            Map<String, Long> times) {

        private boolean anyOften() {
            return involved.values().stream().anyMatch(crashes -> crashes.size() >= PoisonRequestDetector.MIN_CRASHES);
        }

        /**
         * Determines the crashes that count against each request. If part of the response had arrived, the endpoint had
         * survived the start of the request; such crashes count only against requests with fewer than three others.
         */
        private PoisonRequestDetector.Evidence evidence() {
            Map<RequestDigest, Set<String>> counted = new HashMap<>(unanswered);
            Set<RequestDigest> partlyAnswered = new HashSet<>();
            involved.forEach((request, crashes) -> {
                boolean enough = unanswered.getOrDefault(request, Set.of()).size() >= PoisonRequestDetector.MIN_CRASHES;
                if (!enough && crashes.size() > PoisonRequestDetector.MIN_CRASHES) {
                    counted.put(request, crashes);
                    partlyAnswered.add(request);
                }
            });
            return new PoisonRequestDetector.Evidence(counted, partlyAnswered, times);
        }
    }

    /**
     * Infers the poison requests anew.
     *
     * @param involvement the crashes that count against each request
     * @param nowMillis the time on the monotonic clock
     */
    void detect(Involvement involvement, long nowMillis) {
        Map<RequestDigest, Set<String>> before = attributed;
        if (involvement.anyOften()) {
            prove(involvement, nowMillis);
            Map<RequestDigest, Set<String>> certain = new HashMap<>();
            proven.forEach(request ->
                    certain.put(request, Set.copyOf(involvement.unanswered().get(request))));
            attributed = PoisonRequestDetector.detect(involvement.evidence(), certain, endpointCount.getAsInt());
        } else {
            proven = Set.of();
            attributed = Map.of();
        }
        logChanges(before, involvement.times().size());
    }

    private void prove(Involvement involvement, long nowMillis) {
        Set<RequestDigest> all = new HashSet<>(proven);
        all.retainAll(involvement.unanswered().keySet());
        RecurrentRequests recurrent = new RecurrentRequests(involvement.unanswered(), involvement.times(), nowMillis);
        all.addAll(recurrent.poison());
        all.removeAll(recurrent.explainedByOthers(all));
        proven = all;
    }

    private void logChanges(Map<RequestDigest, Set<String>> before, int crashesKnown) {
        attributed.forEach((request, crashes) -> {
            if (!before.containsKey(request)) {
                LOG.warn(
                        "event=culprit_found digest={} crashes={} proven={} endpoints={}",
                        request,
                        crashes.size(),
                        proven.contains(request),
                        crashes);
            }
        });
        before.keySet().stream()
                .filter(request -> !attributed.containsKey(request))
                .forEach(request -> LOG.info("event=culprit_cleared digest={} crashesKnown={}", request, crashesKnown));
    }

    /**
     * Returns the crashes attributed to a request.
     *
     * @param request the request
     * @return the crashes; empty if it is not considered poison
     */
    Optional<Set<String>> crashes(RequestDigest request) {
        return Optional.ofNullable(attributed.get(request));
    }

    /**
     * Returns the crashes of all poison requests that explain one crash.
     *
     * @param crash the crash
     * @return the crashes attributed to each poison request that was involved in it
     */
    Stream<Set<String>> explaining(String crash) {
        return attributed.values().stream().filter(crashes -> crashes.contains(crash));
    }

    /**
     * Returns the poison requests.
     *
     * @return their digests
     */
    Set<RequestDigest> digests() {
        return Set.copyOf(attributed.keySet());
    }
}
