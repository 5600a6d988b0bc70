package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.admission.SizeBand;

/** Checks which counter each outcome increments. */
class ServingMetricsTest {

    @ParameterizedTest
    @CsvSource({
        "ANSWERED, requests.answered", "NOT_RUN, requests.notRun", "UNKNOWN, requests.unknown",
        "TIMED_OUT, requests.unknown", "BROKEN, requests.broken", "CLIENT_GONE, requests.clientGone"
    })
    void shouldCountRequestByOutcome(RequestOutcome outcome, String counter) {
        MetricRegistry registry = new MetricRegistry();
        new ServingMetrics(registry).countOutcome(outcome);
        assertEquals(1, registry.counter(counter).getCount());
        long all = registry.getCounters().values().stream()
                .mapToLong(Counter::getCount)
                .sum();
        assertEquals(1, all, "counted once");
    }

    @Test
    void shouldCountRequestBySize() {
        MetricRegistry registry = new MetricRegistry();
        new ServingMetrics(registry).countSize(SizeBand.LARGEST, RequestOutcome.NOT_RUN.logName());
        assertEquals(1, registry.counter("requests.size.largest.not_run").getCount());
    }

    @Test
    void shouldRecordFirstEventsOverTheirPredictions() {
        MetricRegistry registry = new MetricRegistry();
        new ServingMetrics(registry).recordFirstEvent(200, 300);
        assertEquals(
                150,
                registry.histogram("requests.firstEventOverPredictedPercent")
                        .getSnapshot()
                        .getMax());
    }
}
