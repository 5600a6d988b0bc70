package org.micabarrow.serving;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

/** Counters and latencies of requests at an entry. */
final class ServingMetrics {

    final Counter received;
    final Counter answered;
    final Counter notRun;
    final Counter unknown;
    final Counter broken;
    final Counter clientGone;
    final Counter repeats;
    final Timer firstByte;

    ServingMetrics(MetricRegistry registry) {
        received = registry.counter("requests.received");
        answered = registry.counter("requests.answered");
        notRun = registry.counter("requests.notRun");
        unknown = registry.counter("requests.unknown");
        broken = registry.counter("requests.broken");
        clientGone = registry.counter("requests.clientGone");
        repeats = registry.counter("requests.repeats");
        firstByte = registry.timer("requests.firstByte");
    }
}
