package org.micabarrow.play;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What callers got. */
final class Tally {

    int asked;
    int inTime;
    int late;
    int refusedOnce;
    int refusedForGood;
    int lateAtFirstTry;
    int moved;
    int preempted;
    private final Map<Integer, int[]> bySecond = new TreeMap<>();
    final Map<String, Integer> askedAt = new HashMap<>();
    final Map<String, Integer> inTimeAt = new HashMap<>();

    /** What callers got by kind, by kind and organisation, by kind and second, and by kind and size. */
    private final Map<String, Part> parts = new HashMap<>();

    /** What some of the callers got. */
    static final class Part {
        int asked;
        int inTime;
        int late;
        int refusedForGood;

        double inTimePart() {
            return asked == 0 ? 1 : (double) inTime / asked;
        }

        double servedPart() {
            return asked == 0 ? 1 : (double) (inTime + late) / asked;
        }

        @Override
        public String toString() {
            return "%d asked, %.3f in time, %.3f served".formatted(asked, inTimePart(), servedPart());
        }
    }

    /** The requests of each kind with their sizes. */
    private final Map<String, List<Sized>> sizes = new HashMap<>();

    /** A request with its size. */
    static final class Sized {
        private final int tokens;
        private boolean served;

        private Sized(int tokens) {
            this.tokens = tokens;
        }

        void served() {
            served = true;
        }
    }

    Sized sized(String kind, int tokens) {
        Sized one = new Sized(tokens);
        sizes.computeIfAbsent(kind, name -> new ArrayList<>()).add(one);
        return one;
    }

    /** The part of a kind's requests that was served, of those between two quantiles of their sizes. */
    double servedBySize(String kind, double from, double to) {
        List<Sized> sorted = sizes.get(kind).stream()
                .sorted(Comparator.comparingInt(one -> one.tokens))
                .toList();
        List<Sized> between = sorted.subList((int) (from * sorted.size()), (int) (to * sorted.size()));
        return (double) between.stream().filter(one -> one.served).count() / between.size();
    }

    Part of(String label) {
        return parts.computeIfAbsent(label, name -> new Part());
    }

    /** The least part in time of a kind of request in any second in which some were asked for. */
    double worstSecond(String kind) {
        return parts.entrySet().stream()
                .filter(one -> one.getKey().startsWith(kind + "@"))
                .mapToDouble(one -> one.getValue().inTimePart())
                .min()
                .orElse(1);
    }

    double inTimePart() {
        return (double) inTime / asked;
    }

    /** Counts a request by the second in which it was first tried. */
    void asked(double firstTryMillis) {
        asked++;
        second(firstTryMillis)[0]++;
    }

    void inTime(double firstTryMillis) {
        inTime++;
        second(firstTryMillis)[1]++;
    }

    private int[] second(double millis) {
        return bySecond.computeIfAbsent((int) (millis / 1_000), ignored -> new int[2]);
    }

    /** The part in time of the worst second, without the last two, whose requests may still be under way. */
    double worstSecond() {
        return bySecond.values().stream()
                .limit(Math.max(1, bySecond.size() - 2))
                .mapToDouble(counts -> (double) counts[1] / counts[0])
                .min()
                .orElse(1);
    }

    /** The part of the first tries at the worst-served entry that were answered in time. */
    double worstEntry() {
        return askedAt.keySet().stream().mapToDouble(this::inTimePartAt).min().orElse(1);
    }

    /** As above at the best-served entry. */
    double bestEntry() {
        return askedAt.keySet().stream().mapToDouble(this::inTimePartAt).max().orElse(1);
    }

    private double inTimePartAt(String entry) {
        return (double) inTimeAt.getOrDefault(entry, 0) / askedAt.get(entry);
    }

    /** The mean worth of a request: 1 in time, a quarter late, and a loss if its caller was called back in vain. */
    double worth() {
        return (inTime + 0.25 * late - 0.3 * refusedForGood) / asked;
    }

    @Override
    public String toString() {
        return "asked=%d inTime=%.3f late=%.3f (first tries %.3f) refusedOnce=%.3f refusedForGood=%.3f worth=%.3f entries %.2f to %.2f worstSecond=%.2f moved=%d preempted=%d"
                .formatted(
                        asked,
                        inTimePart(),
                        (double) late / asked,
                        (double) lateAtFirstTry / asked,
                        (double) refusedOnce / asked,
                        (double) refusedForGood / asked,
                        worth(),
                        worstEntry(),
                        bestEntry(),
                        worstSecond(),
                        moved,
                        preempted);
    }
}
