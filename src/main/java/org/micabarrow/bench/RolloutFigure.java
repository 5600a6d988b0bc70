package org.micabarrow.bench;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Plots the time relative to the lower bound and the copies sent by the origin against the number of replicas. */
final class RolloutFigure {

    private static final Map<String, String> COLOURS = new LinkedHashMap<>();

    static {
        COLOURS.put("no fault, time", "#1b6ca8");
        COLOURS.put("no fault, originBytes", "#2e8b57");
        COLOURS.put("all faults together, time", "#c0392b");
        COLOURS.put("all faults together, originBytes", "#d98c00");
        COLOURS.put("baseline: each from the origin", "#888888");
        COLOURS.put("baseline: store and forward", "#444444");
    }

    private RolloutFigure() {}

    static String draw(List<RolloutRow> rows) {
        Map<String, TreeMap<Integer, Double>> times = new LinkedHashMap<>();
        Map<String, TreeMap<Integer, Double>> copies = new LinkedHashMap<>();
        for (RolloutRow row : rows) {
            String name = row.prefer().equals("-") ? row.name() : row.name() + ", " + row.prefer();
            if (COLOURS.containsKey(name)) {
                times.computeIfAbsent(name, key -> new TreeMap<>()).put(row.replicas(), row.ratio());
                copies.computeIfAbsent(name, key -> new TreeMap<>()).put(row.replicas(), row.originCopies());
            }
        }
        return LineFigure.draw(List.of(
                new LineFigure.Panel("Time to N replicas over the lower bound", "replicas", times, COLOURS),
                new LineFigure.Panel("Copies drawn from the origin", "replicas", copies, COLOURS)));
    }

    /** Formats a number for a label. */
    static String label(double value) {
        return value == Math.rint(value) ? Integer.toString((int) value) : String.format(Locale.ROOT, "%.2f", value);
    }
}
