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

/** The rows that {@link RequestsBench} measures: as lines of a table, as JSON and as points of a figure. */
final class RequestRows {

    private final List<String> json = new ArrayList<>();
    private final Map<String, TreeMap<Integer, Double>> shortLines = new LinkedHashMap<>();
    private final Map<String, TreeMap<Integer, Double>> goodLines = new LinkedHashMap<>();

    /** Prints the heads of the columns. */
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
     * Prints and keeps a row.
     *
     * @param name what was measured
     * @param loop the requests
     * @param attempts the attempts for each request
     */
    void row(String name, OpenLoop loop, double attempts) {
        System.out.println(String.format(
                Locale.ROOT,
                "%-34s %6d %8d %8.0f %8.0f %8.0f %9.2f %7.3f %7.3f",
                name,
                loop.sent(),
                loop.count(Caller.Ending.ANSWERED),
                loop.shortMillis(95),
                loop.longMillis(95),
                loop.goodput(),
                attempts,
                loop.answeredShare("large"),
                loop.answeredShare("small")));
        json.add(String.format(
                Locale.ROOT,
                "{\"row\":\"%s\",\"sent\":%d,\"answered\":%d,\"not_run\":%d,\"unknown\":%d,\"lost\":%d,"
                        + "\"short_p50_ms\":%.1f,\"short_p95_ms\":%.1f,\"long_p95_ms\":%.1f,\"tokens_per_s\":%.0f,"
                        + "\"attempts_per_request\":%.3f}",
                name,
                loop.sent(),
                loop.count(Caller.Ending.ANSWERED),
                loop.count(Caller.Ending.NOT_RUN),
                loop.count(Caller.Ending.UNKNOWN),
                loop.count(Caller.Ending.LOST),
                loop.shortMillis(50),
                loop.shortMillis(95),
                loop.longMillis(95),
                loop.goodput(),
                attempts));
    }

    /**
     * Adds a point to the figure.
     *
     * @param name the line it belongs to
     * @param load the load, 1 for the capacity
     * @param loop the requests
     */
    void point(String name, double load, OpenLoop loop) {
        int percent = (int) Math.round(load * 100);
        shortLines.computeIfAbsent(name, key -> new TreeMap<>()).put(percent, loop.shortMillis(95));
        goodLines.computeIfAbsent(name, key -> new TreeMap<>()).put(percent, loop.goodput());
    }

    /** Prints two figures in words, and keeps them under their names. */
    void say(String words, String first, String second, double one, double other) {
        System.out.println(String.format(Locale.ROOT, words, one, other));
        json.add(String.format(Locale.ROOT, "{\"%s\":%.3f,\"%s\":%.3f}", first, one, second, other));
    }

    /** Keeps a JSON object for the end. */
    void json(String object) {
        json.add(object);
    }

    /** Prints all that was kept and draws the figure. */
    void finish(Path file) throws IOException {
        json.forEach(System.out::println);
        Map<String, String> colours =
                Map.of("system", "#1b6ca8", "round robin", "#888888", "least in flight", "#d98c00");
        Files.createDirectories(file.toAbsolutePath().getParent());
        Files.writeString(
                file,
                LineFigure.draw(List.of(
                        new LineFigure.Panel(
                                "95th percentile of short requests (ms)", "load, % of capacity", shortLines, colours),
                        new LineFigure.Panel("answered tokens a second", "load, % of capacity", goodLines, colours))));
    }
}
