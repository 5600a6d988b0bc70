package org.micabarrow.transport;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Map;
import java.util.TreeMap;
import org.micabarrow.state.CanonicalJson;

/** Shows metrics as one flat JSON object. */
public final class Metrics {

    private static final double NANOS_A_MILLI = 1e6;

    private Metrics() {}

    /**
     * All metrics by name; timers in milliseconds.
     *
     * @param registry holds the metrics
     * @return a JSON object
     */
    public static byte[] snapshot(MetricRegistry registry) {
        Map<String, Object> all = new TreeMap<>();
        registry.getGauges().forEach((name, gauge) -> all.put(name, gauge.getValue()));
        registry.getCounters().forEach((name, counter) -> all.put(name, counter.getCount()));
        registry.getMeters().forEach((name, meter) -> all.put(name, meter.getCount()));
        registry.getTimers().forEach((name, timer) -> {
            Snapshot snapshot = timer.getSnapshot();
            all.put(name + ".count", timer.getCount());
            all.put(name + ".p50", snapshot.getMedian() / NANOS_A_MILLI);
            all.put(name + ".p95", snapshot.get95thPercentile() / NANOS_A_MILLI);
            all.put(name + ".p99", snapshot.get99thPercentile() / NANOS_A_MILLI);
        });
        return CanonicalJson.write(all);
    }
}
