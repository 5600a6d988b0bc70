package org.micabarrow.attempts;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;

/** How long the recent answers of routes took. Not thread-safe: confined to one thread. */
public final class AnswerTimes {

    /** Number of answers that are remembered for a route: older ones are forgotten as new ones end. */
    private static final int REMEMBERED = 32;

    /** Number of routes that are remembered, those answered last: manifests may rename routes without end. */
    static final int MAX_ROUTES = 4_096;

    private final Map<String, Times> byRoute = new LinkedHashMap<>(16, 0.75f, true) {

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Times> eldest) {
            return size() > MAX_ROUTES;
        }
    };

    private static final class Times {

        private final int[] millis = new int[REMEMBERED];
        private int recorded;

        private void add(long elapsedMillis) {
            millis[recorded % REMEMBERED] = (int) Math.clamp(elapsedMillis, 0, Integer.MAX_VALUE);
            recorded++;
        }

        private long quantile(double fraction) {
            int[] sorted = Arrays.copyOf(millis, Math.min(recorded, REMEMBERED));
            Arrays.sort(sorted);
            return sorted[(int) Math.ceil(fraction * sorted.length) - 1];
        }
    }

    /** Creates a record without answers. */
    public AnswerTimes() {}

    /**
     * Records a whole answer.
     *
     * @param route the name of its route
     * @param elapsedMillis the time from the arrival of its request to its end, in milliseconds
     */
    public void answered(String route, long elapsedMillis) {
        byRoute.computeIfAbsent(Objects.requireNonNull(route, "route is null"), name -> new Times())
                .add(elapsedMillis);
    }

    /**
     * Returns the time within which a fraction of the recent answers of a route were whole.
     *
     * @param route the name of the route
     * @param fraction the fraction, above 0 and at most 1
     * @return milliseconds from the arrival of the request; empty before the first answer
     */
    public OptionalLong quantile(String route, double fraction) {
        Times times = byRoute.get(Objects.requireNonNull(route, "route is null"));
        return times == null ? OptionalLong.empty() : OptionalLong.of(times.quantile(fraction));
    }
}
