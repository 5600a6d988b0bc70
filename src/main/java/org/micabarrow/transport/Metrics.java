package org.micabarrow.transport;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Map;
import java.util.TreeMap;
import org.micabarrow.state.CanonicalJson;

/** Writes metrics as one flat JSON object. */
public final class Metrics {

    private static final double NANOS_PER_MILLI = 1e6;

    private Metrics() {}

    /**
     * Returns all metrics by name, with timers in milliseconds.
     *
     * @param registry holds the metrics
     * @return a JSON object
     */
    public static byte[] snapshot(MetricRegistry registry) {
        Map<String, Object> metrics = new TreeMap<>();
        registry.getGauges().forEach((name, gauge) -> metrics.put(name, gauge.getValue()));
        registry.getCounters().forEach((name, counter) -> metrics.put(name, counter.getCount()));
        registry.getMeters().forEach((name, meter) -> metrics.put(name, meter.getCount()));
        registry.getTimers().forEach((name, timer) -> {
            Snapshot snapshot = timer.getSnapshot();
            metrics.put(name + ".count", timer.getCount());
            metrics.put(name + ".p50", snapshot.getMedian() / NANOS_PER_MILLI);
            metrics.put(name + ".p95", snapshot.get95thPercentile() / NANOS_PER_MILLI);
            metrics.put(name + ".p99", snapshot.get99thPercentile() / NANOS_PER_MILLI);
        });
        return CanonicalJson.write(metrics);
    }
}
