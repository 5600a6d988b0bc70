package org.micabarrow.bench;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Renders line charts side by side as SVG, with logarithmic axes. */
final class LineFigure {

    private static final int WIDTH = 460;
    private static final int HEIGHT = 300;
    private static final int LEFT = 55;
    private static final int TOP = 40;
    private static final int RIGHT = 15;
    private static final int BOTTOM = 45;
    private static final int LEGEND_LINE = 18;

    private LineFigure() {}

    /** One chart. */
    record Panel(
            String title, String across, Map<String, TreeMap<Integer, Double>> lines, Map<String, String> colours) {}

    static String draw(List<Panel> panels) {
        int legend = panels.getFirst().lines().size() * LEGEND_LINE + 10;
        StringBuilder svg = new StringBuilder();
        svg.append(String.format(
                Locale.ROOT,
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" "
                        + "font-family=\"sans-serif\" font-size=\"12\">%n<rect width=\"100%%\" height=\"100%%\" "
                        + "fill=\"white\"/>%n",
                WIDTH * panels.size(),
                HEIGHT + legend));
        for (int i = 0; i < panels.size(); i++) {
            svg.append(String.format(Locale.ROOT, "<g transform=\"translate(%d,0)\">%n", i * WIDTH));
            drawPanel(svg, panels.get(i));
            svg.append("</g>\n");
        }
        drawLegend(svg, panels.getFirst());
        return svg.append("</svg>\n").toString();
    }

    private static void drawPanel(StringBuilder svg, Panel panel) {
        double min = Math.min(0.9, minOrMax(panel, true) * 0.9);
        double max = minOrMax(panel, false) * 1.15;
        int first = panel.lines().values().stream()
                .mapToInt(TreeMap::firstKey)
                .min()
                .orElse(1);
        int last =
                panel.lines().values().stream().mapToInt(TreeMap::lastKey).max().orElse(2);
        Scale scale = new Scale(first, Math.max(last, first + 1), min, max);
        text(svg, WIDTH / 2.0, TOP - 18, "middle", panel.title());
        text(svg, WIDTH / 2.0, HEIGHT - 8, "middle", panel.across());
        for (double mark = 1; mark <= max; mark *= 2) {
            svg.append(String.format(
                    Locale.ROOT,
                    "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#dddddd\"/>%n",
                    LEFT,
                    WIDTH - RIGHT,
                    scale.y(mark),
                    scale.y(mark)));
            text(svg, LEFT - 6, scale.y(mark) + 4, "end", RolloutFigure.label(mark));
        }
        panel.lines().values().stream()
                .flatMap(line -> line.keySet().stream())
                .distinct()
                .forEach(count -> text(svg, scale.x(count), HEIGHT - BOTTOM + 18, "middle", count.toString()));
        panel.lines()
                .forEach((name, line) ->
                        drawLine(svg, scale, line, panel.colours().get(name)));
    }

    private static double minOrMax(Panel panel, boolean minimum) {
        var values = panel.lines().values().stream()
                .flatMap(line -> line.values().stream())
                .mapToDouble(Double::doubleValue);
        return Math.max(0.01, (minimum ? values.min() : values.max()).orElse(1));
    }

    /** Maps values to pixel coordinates on logarithmic axes. */
    private record Scale(double first, double last, double min, double max) {

        double x(double value) {
            return LEFT + 10 + (WIDTH - LEFT - RIGHT - 20) * Math.log(value / first) / Math.log(last / first);
        }

        double y(double value) {
            double fraction = Math.log(Math.max(value, min) / min) / Math.log(max / min);
            return HEIGHT - BOTTOM - (HEIGHT - TOP - BOTTOM) * fraction;
        }
    }

    private static void drawLine(StringBuilder svg, Scale scale, TreeMap<Integer, Double> line, String colour) {
        StringBuilder points = new StringBuilder();
        line.forEach((count, value) ->
                points.append(String.format(Locale.ROOT, "%.1f,%.1f ", scale.x(count), scale.y(value))));
        svg.append(String.format(
                Locale.ROOT,
                "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" points=\"%s\"/>%n",
                colour,
                points.toString().trim()));
    }

    private static void drawLegend(StringBuilder svg, Panel panel) {
        int y = HEIGHT + 8;
        for (String name : panel.lines().keySet()) {
            svg.append(String.format(
                    Locale.ROOT,
                    "<line x1=\"%d\" x2=\"%d\" y1=\"%d\" y2=\"%d\" stroke=\"%s\" stroke-width=\"2\"/>%n",
                    LEFT,
                    LEFT + 26,
                    y,
                    y,
                    panel.colours().get(name)));
            text(svg, LEFT + 34, y + 4, "start", name);
            y += LEGEND_LINE;
        }
    }

    private static void text(StringBuilder svg, double x, double y, String anchor, String words) {
        svg.append(String.format(
                Locale.ROOT, "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>%n", x, y, anchor, words));
    }
}
