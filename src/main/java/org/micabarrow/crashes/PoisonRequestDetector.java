package org.micabarrow.crashes;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Detects the poison requests that explain endpoint crashes. A crash affects all requests in flight at the endpoint, so
 * harmless requests are involved in several crashes too while a poison request causes these. A crash that a poison
 * request explains does not count against other requests. Two requests that were involved in the same crashes are not
 * considered poison until one of them was involved in crashes without the other. The more endpoints crash at the same
 * time, the more crashes are required.
 */
final class PoisonRequestDetector {

    /** Minimum number of crashes in which a poison request was involved. */
    static final int MIN_CRASHES = 3;

    /** Minimum number of these crashes without any other request that was involved in several crashes. */
    private static final int MIN_SOLE_CRASHES = 2;

    /** Number of crashes from which a single one without another suspect suffices. */
    private static final int MIN_CRASHES_WITH_ONE_SOLE = 4;

    /**
     * Time before a crash within which other crashes count as simultaneous, in milliseconds: roughly the duration of a
     * request.
     */
    private static final long SIMULTANEOUS_MILLIS = 1_000;

    /** Highest accepted probability that a harmless request was involved in as many crashes by chance. */
    private static final double MAX_CHANCE = 0.01;

    private final Map<String, Long> times;
    private final int endpointCount;
    private final Map<RequestDigest, Set<String>> unexplained = new HashMap<>();
    private final Set<RequestDigest> partlyAnswered;
    private final Set<String> explained = new HashSet<>();

    private PoisonRequestDetector(Evidence evidence, int endpointCount) {
        this.times = evidence.times();
        this.partlyAnswered = evidence.partlyAnswered();
        this.endpointCount = Math.max(1, endpointCount);
        evidence.crashes().forEach((request, crashes) -> {
            if (crashes.size() > 1) {
                unexplained.put(request, new HashSet<>(crashes));
            }
        });
    }

    /**
     * The known crashes.
     *
     * @param crashes the crashes in which each request was involved
     * @param partlyAnswered the requests of whose responses a part has arrived since the first of these crashes
     * @param times the time of each crash in milliseconds
     */
    record Evidence(
            Map<RequestDigest, Set<String>> crashes, Set<RequestDigest> partlyAnswered, Map<String, Long> times) {}

    /**
     * Detects poison requests. The result does not depend on the order in which the crashes became known.
     *
     * @param evidence the known crashes
     * @param certain the requests that are poison for certain, and their crashes, which they explain
     * @param endpointCount the number of endpoints
     * @return the poison requests, and the crashes that each of them explains
     */
    static Map<RequestDigest, Set<String>> detect(
            Evidence evidence, Map<RequestDigest, Set<String>> certain, int endpointCount) {
        PoisonRequestDetector detector = new PoisonRequestDetector(evidence, endpointCount);
        detector.unexplained.keySet().removeAll(certain.keySet());
        certain.values().forEach(detector::explain);
        Map<RequestDigest, Set<String>> found = new LinkedHashMap<>(certain);
        found.putAll(detector.detectAll());
        return found;
    }

    private void explain(Set<String> crashes) {
        explained.addAll(crashes);
        unexplained.values().forEach(others -> others.removeAll(crashes));
        unexplained.values().removeIf(others -> others.size() < 2);
    }

    private Map<RequestDigest, Set<String>> detectAll() {
        Map<RequestDigest, Set<String>> found = new LinkedHashMap<>();
        for (Optional<Suspect> next = strongestSuspect(); next.isPresent(); next = strongestSuspect()) {
            Suspect poisonRequest = next.get();
            Set<String> ownCrashes = unexplained.remove(poisonRequest.request());
            found.put(poisonRequest.request(), ownCrashes);
            explain(ownCrashes);
        }
        return found;
    }

    /** A request that was involved in several unexplained crashes. */
    private record Suspect(RequestDigest request, int crashes, int soleCrashes, double chance, boolean partlyAnswered) {

        /** Whether the request is unlikely to have been involved by chance or only because of another suspect. */
        private boolean conclusive() {
            return soleCrashes >= MIN_SOLE_CRASHES && chance <= MAX_CHANCE;
        }

        private boolean isPoison() {
            if (partlyAnswered) {
                return conclusive() && soleCrashes >= MIN_CRASHES && crashes > MIN_CRASHES;
            }
            return conclusive() || crashes >= MIN_CRASHES_WITH_ONE_SOLE && soleCrashes > 0;
        }
    }

    private Optional<Suspect> strongestSuspect() {
        Map<String, Integer> requestsPerCrash = new HashMap<>();
        unexplained
                .values()
                .forEach(crashes -> crashes.forEach(crash -> requestsPerCrash.merge(crash, 1, Integer::sum)));
        return unexplained.entrySet().stream()
                .filter(candidate -> candidate.getValue().size() >= MIN_CRASHES)
                .map(candidate -> suspect(candidate.getKey(), candidate.getValue(), requestsPerCrash))
                .filter(Suspect::isPoison)
                .max(Comparator.comparing(Suspect::conclusive)
                        .thenComparingInt(Suspect::crashes)
                        .thenComparingInt(Suspect::soleCrashes)
                        .thenComparing(suspect -> suspect.request().hex()));
    }

    private Suspect suspect(RequestDigest request, Set<String> crashes, Map<String, Integer> requestsPerCrash) {
        int soleCrashes = (int) crashes.stream()
                .filter(crash -> requestsPerCrash.get(crash) == 1)
                .count();
        return new Suspect(request, crashes.size(), soleCrashes, chance(crashes), partlyAnswered.contains(request));
    }

    /**
     * Estimates the probability that a harmless request was involved in as many crashes by chance. After its first
     * crash, each further attempt of it runs at one of the endpoints that crash simultaneously, with the probability
     * that their fraction of all endpoints gives.
     */
    private double chance(Set<String> crashes) {
        double averageOthers = crashes.stream()
                .mapToLong(crash -> simultaneousCrashes(crash, crashes))
                .average()
                .orElse(0);
        return Math.pow(Math.min(1, averageOthers / endpointCount), crashes.size() - 1.0);
    }

    private long simultaneousCrashes(String crash, Set<String> ownCrashes) {
        long at = times.get(crash);
        return times.entrySet().stream()
                .filter(other -> !ownCrashes.contains(other.getKey()) && !explained.contains(other.getKey()))
                .filter(other -> other.getValue() <= at && other.getValue() > at - SIMULTANEOUS_MILLIS)
                .count();
    }
}
