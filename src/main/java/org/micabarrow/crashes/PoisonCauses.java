package org.micabarrow.crashes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The poison causes inferred from the known crashes, with the crashes attributed to each. A cause whose own crashes
 * prove it to be poison remains so until it is answered or its crashes expire, whatever is learned of other causes. Not
 * thread-safe: guarded by its {@link CrashRegistry}.
 */
final class PoisonCauses {

    private static final Logger LOG = LoggerFactory.getLogger(CrashRegistry.class);

    private final IntSupplier endpointCount;
    private List<PoisonCause> attributed = List.of();
    private Set<Cause> proven = Set.of();

    PoisonCauses(IntSupplier endpointCount) {
        this.endpointCount = Objects.requireNonNull(endpointCount, "endpointCount is null");
    }

    /**
     * The crashes in which each cause was involved.
     *
     * @param unanswered for each cause, the crashes since any part of a response to it
     * @param involved for each cause, the crashes since its last complete response
     * @param answeredParts the parts of prompts on which endpoints have answered at any time
     * @param times the time of each crash on the monotonic clock, in milliseconds
     * @param parts the shared parts of the prompts of the requests involved
     */
    record Involvement(
            Map<Cause, Set<String>> unanswered,
            Map<Cause, Set<String>> involved,
            Set<Cause> answeredParts,
            Map<String, Long> times,
            Map<RequestDigest, Set<PromptPart>> parts) {

        private boolean anyOften() {
            return involved.values().stream().anyMatch(crashes -> crashes.size() >= PoisonDetector.MIN_CRASHES);
        }

        private CrashEvidence sinceAnyResponse() {
            return new CrashEvidence(unanswered, Set.of(), answeredParts, times, parts);
        }

        /**
         * Determines the crashes that count against each cause. If part of the response had arrived, the endpoint had
         * survived the start of the request; such crashes count only against causes with fewer than three others.
         */
        private CrashEvidence counted() {
            Map<Cause, Set<String>> counted = new HashMap<>(unanswered);
            Set<Cause> partlyAnswered = new HashSet<>();
            involved.forEach((cause, crashes) -> {
                boolean enough = unanswered.getOrDefault(cause, Set.of()).size() >= PoisonDetector.MIN_CRASHES;
                if (!enough && crashes.size() > PoisonDetector.MIN_CRASHES) {
                    counted.put(cause, crashes);
                    partlyAnswered.add(cause);
                }
            });
            return new CrashEvidence(counted, partlyAnswered, answeredParts, times, parts);
        }
    }

    /**
     * Infers the poison causes anew.
     *
     * @param involvement the crashes in which each cause was involved
     * @param nowMillis the time on the monotonic clock
     */
    void detect(Involvement involvement, long nowMillis) {
        List<PoisonCause> before = attributed;
        if (involvement.anyOften()) {
            prove(involvement, nowMillis);
            attributed = PoisonDetector.detect(
                    involvement.counted(), certain(involvement.unanswered()), endpointCount.getAsInt());
        } else {
            proven = Set.of();
            attributed = List.of();
        }
        logChanges(before, involvement.times().size());
    }

    private void prove(Involvement involvement, long nowMillis) {
        Set<Cause> all = new HashSet<>(proven);
        all.retainAll(involvement.unanswered().keySet());
        RecurrentCauses recurrent = new RecurrentCauses(involvement.sinceAnyResponse(), nowMillis);
        all.addAll(recurrent.poison());
        all.removeAll(recurrent.explainedByOthers(all));
        proven = all;
    }

    /** Joins proven parts of prompts that were involved in the same crashes. */
    private List<PoisonCause> certain(Map<Cause, Set<String>> unanswered) {
        Map<Set<String>, Set<Cause>> partsByCrashes = new HashMap<>();
        List<PoisonCause> certain = new ArrayList<>();
        for (Cause cause : proven) {
            Set<String> crashes = unanswered.get(cause);
            switch (cause) {
                case RequestDigest request -> certain.add(new PoisonCause(Set.of(request), crashes));
                case PromptPart part ->
                    partsByCrashes
                            .computeIfAbsent(crashes, key -> new HashSet<>())
                            .add(part);
            }
        }
        partsByCrashes.forEach((crashes, parts) -> certain.add(new PoisonCause(parts, crashes)));
        return certain;
    }

    private void logChanges(List<PoisonCause> before, int crashesKnown) {
        Set<Set<Cause>> known = causes(before);
        attributed.stream()
                .filter(poison -> !known.contains(poison.causes()))
                .forEach(poison -> LOG.warn(
                        "event=culprit_found {} crashes={} proven={} endpoints={}",
                        loggable(poison.causes()),
                        poison.crashes().size(),
                        proven.containsAll(poison.causes()),
                        poison.crashes()));
        Set<Set<Cause>> remaining = causes(attributed);
        known.stream()
                .filter(causes -> !remaining.contains(causes))
                .forEach(
                        causes -> LOG.info("event=culprit_cleared {} crashesKnown={}", loggable(causes), crashesKnown));
    }

    private static Set<Set<Cause>> causes(List<PoisonCause> poisonCauses) {
        return poisonCauses.stream().map(PoisonCause::causes).collect(Collectors.toUnmodifiableSet());
    }

    private static String loggable(Set<Cause> causes) {
        return causes.stream()
                .map(cause -> switch (cause) {
                    case RequestDigest digest -> "digest=" + digest;
                    case PromptPart part -> "part=" + part;
                })
                .sorted()
                .collect(Collectors.joining(" "));
    }

    // -- queries

    /**
     * Returns the poison causes that a request certainly holds.
     *
     * @param request the request
     * @return the poison causes with their crashes
     */
    Stream<PoisonCause> in(RequestCauses request) {
        return attributed.stream().filter(poison -> poison.isIn(request));
    }

    /**
     * Returns the poison causes that explain one crash.
     *
     * @param crash the crash
     * @return the poison causes that were involved in it
     */
    Stream<PoisonCause> explaining(String crash) {
        return attributed.stream().filter(poison -> poison.crashes().contains(crash));
    }

    /**
     * Returns all poison causes.
     *
     * @return the causes; several that cannot be told apart are listed each
     */
    Set<Cause> all() {
        return attributed.stream().flatMap(poison -> poison.causes().stream()).collect(Collectors.toUnmodifiableSet());
    }
}
