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
final class Culprits {

    /** Minimum number of crashes in which a poison request was involved. */
    static final int LEAST_CRASHES = 3;

    /** Minimum number of these crashes without any other request that was involved in several crashes. */
    private static final int LEAST_ALONE = 2;

    /** Number of crashes from which a single one without another suspect suffices. */
    private static final int MANY_CRASHES = 4;

    /**
     * Number of crashes that suffices on its own, for a request without any part of a response since the first of them.
     */
    private static final int MOST_CRASHES = 5;

    /**
     * Time before a crash within which other crashes count as simultaneous, in milliseconds: roughly the duration of a
     * request.
     */
    private static final long SAME_TIME_MILLIS = 1_000;

    /** Highest accepted probability that a harmless request was involved in as many crashes by chance. */
    private static final double MOST_CHANCE = 0.01;

    private final Map<String, Long> times;
    private final int endpoints;
    private final Map<RequestDigest, Set<String>> open;
    private final Set<RequestDigest> begun;
    private final Set<String> explained = new HashSet<>();

    private Culprits(Evidence evidence, int endpoints, Map<RequestDigest, Set<String>> open) {
        this.times = evidence.times();
        this.begun = evidence.begun();
        this.endpoints = Math.max(1, endpoints);
        this.open = open;
    }

    /**
     * The known crashes.
     *
     * @param crashes the crashes in which each request was involved
     * @param partlyAnswered the requests of whose responses a part has arrived since the first of these crashes
     * @param times the time of each crash in milliseconds
     */
    record Evidence(Map<RequestDigest, Set<String>> crashes, Set<RequestDigest> begun, Map<String, Long> times) {}

    /**
     * Detects poison requests. The result does not depend on the order in which the crashes became known.
     *
     * @param evidence the known crashes
     * @param endpointCount the number of endpoints
     * @return the poison requests, and the crashes that each of them explains
     */
    static Map<RequestDigest, Set<String>> of(Evidence evidence, int endpoints) {
        Map<RequestDigest, Set<String>> repeated = new HashMap<>();
        evidence.crashes().forEach((request, at) -> {
            if (at.size() > 1) {
                repeated.put(request, new HashSet<>(at));
            }
        });
        return new Culprits(evidence, endpoints, repeated).find();
    }

    private Map<RequestDigest, Set<String>> find() {
        Map<RequestDigest, Set<String>> found = new LinkedHashMap<>();
        for (Optional<Suspect> next = mostSuspect(); next.isPresent(); next = mostSuspect()) {
            Suspect culprit = next.get();
            Set<String> itsOwn = open.remove(culprit.request());
            found.put(culprit.request(), itsOwn);
            explained.addAll(itsOwn);
            open.values().forEach(crashes -> crashes.removeAll(itsOwn));
            open.values().removeIf(crashes -> crashes.size() < 2);
        }
        return found;
    }

    /** A request that was involved in several unexplained crashes. */
    private record Suspect(RequestDigest request, int crashes, int alone, double chance, boolean begun) {

        /** Whether the request is unlikely to have been involved by chance or only because of another suspect. */
        private boolean standsOut() {
            return alone >= LEAST_ALONE && chance <= MOST_CHANCE;
        }

        private boolean guilty() {
            if (begun) {
                return standsOut() && crashes > LEAST_CRASHES;
            }
            return standsOut() || crashes >= MANY_CRASHES && alone > 0 || crashes >= MOST_CRASHES;
        }
    }

    private Optional<Suspect> mostSuspect() {
        Map<String, Integer> there = new HashMap<>();
        open.values().forEach(crashes -> crashes.forEach(crash -> there.merge(crash, 1, Integer::sum)));
        return open.entrySet().stream()
                .filter(one -> one.getValue().size() >= LEAST_CRASHES)
                .map(one -> suspect(one.getKey(), one.getValue(), there))
                .filter(Suspect::guilty)
                .max(Comparator.comparing(Suspect::standsOut)
                        .thenComparingInt(Suspect::crashes)
                        .thenComparingInt(Suspect::alone)
                        .thenComparing(suspect -> suspect.request().hex()));
    }

    private Suspect suspect(RequestDigest request, Set<String> crashes, Map<String, Integer> there) {
        int alone =
                (int) crashes.stream().filter(crash -> there.get(crash) == 1).count();
        return new Suspect(request, crashes.size(), alone, chance(crashes), begun.contains(request));
    }

    /**
     * Estimates the probability that a harmless request was involved in as many crashes by chance. After its first
     * crash, each further attempt of it runs at one of the endpoints that crash simultaneously, with the probability
     * that their fraction of all endpoints gives.
     */
    private double chance(Set<String> crashes) {
        double others = crashes.stream()
                .mapToLong(crash -> othersAtTheSameTime(crash, crashes))
                .average()
                .orElse(0);
        return Math.pow(Math.min(1, others / endpoints), crashes.size() - 1.0);
    }

    private long othersAtTheSameTime(String crash, Set<String> itsOwn) {
        long at = times.get(crash);
        return times.entrySet().stream()
                .filter(other -> !itsOwn.contains(other.getKey()) && !explained.contains(other.getKey()))
                .filter(other -> other.getValue() <= at && other.getValue() > at - SAME_TIME_MILLIS)
                .count();
    }
}
