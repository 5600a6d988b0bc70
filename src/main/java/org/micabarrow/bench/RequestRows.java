package org.micabarrow.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Collects the results of {@link RequestsBench} and writes them as table rows, JSON and a chart. */
final class RequestRows {

    private final List<String> json = new ArrayList<>();
    private final Map<String, TreeMap<Integer, Double>> shortLatencyLines = new LinkedHashMap<>();
    private final Map<String, TreeMap<Integer, Double>> goodputLines = new LinkedHashMap<>();

    /** Prints the column headers. */
    void header() {
        System.out.println(String.format(
                Locale.ROOT,
                "%-34s %6s %8s %8s %8s %8s %9s %7s %7s",
                "row",
                "sent",
                "answered",
                "short95",
                "long95",
                "tokens/s",
                "attempts",
                "large",
                "small"));
    }

    /**
     * Prints a row and stores it for the JSON output.
     *
     * @param name the name of the measurement
     * @param loop the completed load run
     * @param attempts the mean number of attempts per request
     */
    void addRow(String name, OpenLoopLoad loop, double attempts) {
        System.out.println(String.format(
                Locale.ROOT,
                "%-34s %6d %8d %8.0f %8.0f %8.0f %9.2f %7.3f %7.3f",
                name,
                loop.requestCount(),
                loop.outcomeCount(ClientCalls.Outcome.ANSWERED),
                loop.shortPercentileMillis(95),
                loop.longPercentileMillis(95),
                loop.goodputTokensPerSecond(),
                attempts,
                loop.answeredShare("large"),
                loop.answeredShare("small")));
        json.add(String.format(
                Locale.ROOT,
                "{\"row\":\"%s\",\"sent\":%d,\"answered\":%d,\"not_run\":%d,\"unknown\":%d,\"lost\":%d,"
                        + "\"short_p50_ms\":%.1f,\"short_p95_ms\":%.1f,\"long_p95_ms\":%.1f,\"tokens_per_s\":%.0f,"
                        + "\"attempts_per_request\":%.3f}",
                name,
                loop.requestCount(),
                loop.outcomeCount(ClientCalls.Outcome.ANSWERED),
                loop.outcomeCount(ClientCalls.Outcome.NOT_RUN),
                loop.outcomeCount(ClientCalls.Outcome.UNKNOWN),
                loop.outcomeCount(ClientCalls.Outcome.LOST),
                loop.shortPercentileMillis(50),
                loop.shortPercentileMillis(95),
                loop.longPercentileMillis(95),
                loop.goodputTokensPerSecond(),
                attempts));
    }

    /**
     * Adds a point to the chart.
     *
     * @param name the name of the line
     * @param load the load as a fraction of the capacity
     * @param loop the completed load run
     */
    void addPoint(String name, double load, OpenLoopLoad loop) {
        int percent = (int) Math.round(load * 100);
        shortLatencyLines.computeIfAbsent(name, key -> new TreeMap<>()).put(percent, loop.shortPercentileMillis(95));
        goodputLines.computeIfAbsent(name, key -> new TreeMap<>()).put(percent, loop.goodputTokensPerSecond());
    }

    /** Prints two values with a format string and stores them as JSON fields. */
    void addPair(String format, String firstName, String secondName, double firstValue, double secondValue) {
        System.out.println(String.format(Locale.ROOT, format, firstValue, secondValue));
        json.add(String.format(
                Locale.ROOT, "{\"%s\":%.3f,\"%s\":%.3f}", firstName, firstValue, secondName, secondValue));
    }

    /** Stores a JSON object for the final output. */
    void json(String object) {
        json.add(object);
    }

    /** Prints the stored JSON and writes the chart. */
    void finish(Path file) throws IOException {
        json.forEach(System.out::println);
        Map<String, String> colours =
                Map.of("system", "#1b6ca8", "round robin", "#888888", "least in flight", "#d98c00");
        Files.createDirectories(file.toAbsolutePath().getParent());
        Files.writeString(
                file,
                LineFigure.draw(List.of(
                        new LineFigure.Panel(
                                "95th percentile of short requests (ms)",
                                "load, % of capacity",
                                shortLatencyLines,
                                colours),
                        new LineFigure.Panel(
                                "answered tokens a second", "load, % of capacity", goodputLines, colours))));
    }
}
