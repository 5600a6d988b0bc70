package org.micabarrow.play;

import java.util.HashMap;
import java.util.Map;

/** What callers got. */
final class Tally {

    int asked;
    int inTime;
    int late;
    int refusedOnce;
    int refusedForGood;
    int lateAtFirstTry;
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
        return "asked=%d inTime=%.3f late=%.3f (first tries %.3f) refusedOnce=%.3f refusedForGood=%.3f worth=%.3f entries %.2f to %.2f"
                .formatted(
                        asked,
                        inTimePart(),
                        (double) late / asked,
                        (double) lateAtFirstTry / asked,
                        (double) refusedOnce / asked,
                        (double) refusedForGood / asked,
                        worth(),
                        worstEntry(),
                        bestEntry());
    }
}
