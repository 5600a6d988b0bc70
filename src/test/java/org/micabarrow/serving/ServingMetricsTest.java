package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Under which name a request is counted when it ends. */
class ServingMetricsTest {

    @ParameterizedTest
    @CsvSource({
        "ANSWERED, requests.answered", "NOT_RUN, requests.notRun", "UNKNOWN, requests.unknown",
        "TIMED_OUT, requests.unknown", "BROKEN, requests.broken", "CLIENT_GONE, requests.clientGone"
    })
    void shouldCountRequestByItsEnd(Ending ending, String counter) {
        MetricRegistry registry = new MetricRegistry();
        new ServingMetrics(registry).ended(ending);
        assertEquals(1, registry.counter(counter).getCount());
        long all = registry.getCounters().values().stream()
                .mapToLong(Counter::getCount)
                .sum();
        assertEquals(1, all, "counted once");
    }
}
