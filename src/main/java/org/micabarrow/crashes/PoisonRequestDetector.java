package org.micabarrow.crashes;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds the requests that explain why endpoints crashed. A crash takes all requests along that are there, so that harmless ones
 * are at several crashes too while another request brings these about. A crash that a culprit explains counts against nobody
 * else; where two requests were at the same crashes, neither is a culprit until one was at crashes without the other; and the more
 * endpoints crash at the same time, the more crashes it takes.
 */
final class PoisonRequestDetector {

    /** At how many crashes a request must have been. */
    static final int LEAST_CRASHES = 3;

    /** At how many of these no other request may have been that was at a second one. */
    private static final int LEAST_ALONE = 2;

    /** From how many crashes on a single one without another suspect is enough. */
    private static final int MANY_CRASHES = 4;

    /** From how many crashes on nothing else is asked for, of a request of whose answer no part has come since the first. */
    private static final int MOST_CRASHES = 5;

    /** How long before a crash others count as being at the same time, in milliseconds: about what a request takes. */
    private static final long SAME_TIME_MILLIS = 1_000;

    /** How likely it may be that a harmless request was at as many crashes by chance. */
    private static final double MOST_CHANCE = 0.01;

    private final Map<String, Long> times;
    private final int endpoints;
    private final Map<RequestDigest, Set<String>> open;
    private final Set<RequestDigest> begun;
    private final Set<String> explained = new HashSet<>();

    private PoisonRequestDetector(Evidence evidence, int endpoints, Map<RequestDigest, Set<String>> open) {
        this.times = evidence.times();
        this.begun = evidence.begun();
        this.endpoints = Math.max(1, endpoints);
        this.open = open;
    }

    /**
     * What is known.
     *
     * @param crashes the crashes at which each request was
     * @param begun the requests of whose answers a part has come since the first of these
     * @param times when each crash was, in milliseconds
     */
    record Evidence(Map<RequestDigest, Set<String>> crashes, Set<RequestDigest> begun, Map<String, Long> times) {}

    /**
     * Finds culprits; the same crashes lead to the same culprits, in whatever order they were learned of.
     *
     * @param evidence what is known
     * @param endpoints how many endpoints there are
     * @return the culprits, and the crashes that each explains
     */
    static Map<RequestDigest, Set<String>> of(Evidence evidence, int endpoints) {
        Map<RequestDigest, Set<String>> repeated = new HashMap<>();
        evidence.crashes().forEach((request, at) -> {
            if (at.size() > 1) {
                repeated.put(request, new HashSet<>(at));
            }
        });
        return new PoisonRequestDetector(evidence, endpoints, repeated).find();
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

    /** A request that was at several crashes that nothing explains yet. */
    private record Suspect(RequestDigest request, int crashes, int alone, double chance, boolean begun) {

        /** Whether it is unlikely to have been there by chance, or only beside another suspect. */
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
     * How likely a harmless request is at as many crashes by chance: once it was at one, each further time it is where one of those
     * crashes happens that do at the same time.
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
