package org.micabarrow.crashes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Detects the causes that explain endpoint crashes. A crash affects all requests in flight at the endpoint, so harmless
 * requests and parts of their prompts are involved in several crashes too while a poison cause brings these about. A
 * crash that a poison cause explains does not count against other causes. Two requests that were involved in the same
 * crashes are not considered poison until one of them was involved in crashes without the other; two parts of prompts
 * are considered poison together. The more endpoints crash at the same time, the more crashes are required.
 */
final class PoisonDetector {

    /** Minimum number of crashes in which a poison cause was involved. */
    static final int MIN_CRASHES = 3;

    /** Minimum number of these crashes without a competing cause that was involved in several crashes. */
    private static final int MIN_SOLE_CRASHES = 2;

    /** Number of crashes of a request, which runs at one endpoint at a time, from which a single sole one suffices. */
    private static final int MIN_CRASHES_WITH_ONE_SOLE = 4;

    /** Minimum time between the first and the last crash of a part on which endpoints have answered, in milliseconds. */
    private static final long MIN_ANSWERED_SPAN_MILLIS = 2_000;

    /**
     * Time before a crash within which other crashes count as simultaneous, in milliseconds: roughly the duration of a
     * request.
     */
    private static final long SIMULTANEOUS_MILLIS = 1_000;

    /** Highest accepted probability that a harmless request was involved in as many crashes by chance. */
    private static final double MAX_CHANCE = 0.01;

    private final CrashEvidence evidence;
    private final int endpointCount;
    private final Map<Cause, Set<String>> unexplained = new HashMap<>();
    private final Set<String> explained = new HashSet<>();

    private PoisonDetector(CrashEvidence evidence, int endpointCount) {
        this.evidence = evidence;
        this.endpointCount = Math.max(1, endpointCount);
        evidence.crashes().forEach((cause, crashes) -> {
            if (crashes.size() > 1 && !isNarrowed(cause, crashes)) {
                unexplained.put(cause, new HashSet<>(crashes));
            }
        });
    }

    private boolean isNarrowed(Cause cause, Set<String> crashes) {
        return cause instanceof PromptPart part && evidence.isNarrowedToOneRequest(part, crashes);
    }

    /**
     * Detects poison causes. The result does not depend on the order in which the crashes became known.
     *
     * @param evidence the known crashes
     * @param certain what is poison for certain, with the crashes that it explains
     * @param endpointCount the number of endpoints
     * @return the poison causes, with the crashes that each of them explains
     */
    static List<PoisonCause> detect(CrashEvidence evidence, List<PoisonCause> certain, int endpointCount) {
        PoisonDetector detector = new PoisonDetector(evidence, endpointCount);
        List<PoisonCause> found = new ArrayList<>(certain);
        certain.forEach(detector::explain);
        found.addAll(detector.detectAll());
        return found;
    }

    private void explain(PoisonCause poison) {
        unexplained.keySet().removeAll(poison.causes());
        explained.addAll(poison.crashes());
        unexplained.values().forEach(others -> others.removeAll(poison.crashes()));
        unexplained.values().removeIf(others -> others.size() < 2);
    }

    private List<PoisonCause> detectAll() {
        List<PoisonCause> found = new ArrayList<>();
        for (Optional<Suspect> next = strongestSuspect(); next.isPresent(); next = strongestSuspect()) {
            PoisonCause poison = withInseparable(next.get().cause());
            found.add(poison);
            explain(poison);
        }
        return found;
    }

    /** Joins a part with those that were involved in the same crashes. */
    private PoisonCause withInseparable(Cause cause) {
        Set<String> crashes = unexplained.get(cause);
        Set<Cause> causes = new HashSet<>(Set.of(cause));
        unexplained.forEach((other, others) -> {
            if (others.equals(crashes) && areAlike(cause, other)) {
                causes.add(other);
            }
        });
        return new PoisonCause(causes, crashes);
    }

    private boolean areAlike(Cause cause, Cause other) {
        return cause instanceof PromptPart
                && other instanceof PromptPart
                && evidence.answeredParts().contains(cause)
                        == evidence.answeredParts().contains(other);
    }

    // -- suspects

    /** A cause that was involved in several unexplained crashes. */
    private record Suspect(
            Cause cause,
            int crashes,
            int soleCrashes,
            double chance,
            boolean partlyAnswered,
            boolean answeredPart,
            long spanMillis) {

        /** Whether the cause is unlikely to have been involved by chance or only because of another suspect. */
        private boolean conclusive() {
            return soleCrashes >= MIN_SOLE_CRASHES && chance <= MAX_CHANCE;
        }

        private boolean isPoison() {
            if (partlyAnswered || answeredPart) {
                return conclusive()
                        && soleCrashes >= MIN_CRASHES
                        && crashes > MIN_CRASHES
                        && (!answeredPart || spanMillis >= MIN_ANSWERED_SPAN_MILLIS);
            }
            boolean isRequest = cause instanceof RequestDigest;
            return conclusive() || isRequest && crashes >= MIN_CRASHES_WITH_ONE_SOLE && soleCrashes > 0;
        }
    }

    private Optional<Suspect> strongestSuspect() {
        CompetingCauses competing = new CompetingCauses(evidence, unexplained);
        return unexplained.entrySet().stream()
                .filter(candidate -> candidate.getValue().size() >= MIN_CRASHES)
                .map(candidate -> suspect(candidate.getKey(), candidate.getValue(), competing))
                .filter(Suspect::isPoison)
                .max(Comparator.comparing((Suspect suspect) -> !suspect.answeredPart())
                        .thenComparing(Suspect::conclusive)
                        .thenComparingInt(Suspect::crashes)
                        .thenComparingInt(Suspect::soleCrashes)
                        .thenComparing(suspect -> suspect.cause().description()));
    }

    private Suspect suspect(Cause cause, Set<String> crashes, CompetingCauses competing) {
        int soleCrashes = (int)
                crashes.stream().filter(crash -> competing.isSole(cause, crash)).count();
        return new Suspect(
                cause,
                crashes.size(),
                soleCrashes,
                chance(crashes),
                evidence.partlyAnswered().contains(cause),
                evidence.answeredParts().contains(cause),
                evidence.spanMillis(crashes));
    }

    /**
     * Estimates the probability that a harmless cause was involved in as many crashes by chance. After its first crash,
     * each further attempt with it runs at one of the endpoints that crash simultaneously, with the probability that
     * their fraction of all endpoints gives.
     */
    private double chance(Set<String> crashes) {
        double averageOthers = crashes.stream()
                .mapToLong(crash -> simultaneousCrashes(crash, crashes))
                .average()
                .orElse(0);
        return Math.pow(Math.min(1, averageOthers / endpointCount), crashes.size() - 1.0);
    }

    private long simultaneousCrashes(String crash, Set<String> ownCrashes) {
        long at = evidence.times().get(crash);
        return evidence.times().entrySet().stream()
                .filter(other -> !ownCrashes.contains(other.getKey()) && !explained.contains(other.getKey()))
                .filter(other -> other.getValue() <= at && other.getValue() > at - SIMULTANEOUS_MILLIS)
                .count();
    }
}
