package org.micabarrow.serving;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

/** Counters and latencies of requests at an entry. */
final class ServingMetrics {

    final Counter received;
    private final Counter answered;
    private final Counter notRun;
    private final Counter unknown;
    private final Counter broken;
    private final Counter clientGone;
    final Counter repeats;
    final Counter culprits;
    final Counter overLimit;
    final Timer firstByte;

    ServingMetrics(MetricRegistry registry) {
        received = registry.counter("requests.received");
        answered = registry.counter("requests.answered");
        notRun = registry.counter("requests.notRun");
        unknown = registry.counter("requests.unknown");
        broken = registry.counter("requests.broken");
        clientGone = registry.counter("requests.clientGone");
        repeats = registry.counter("requests.repeats");
        culprits = registry.counter("requests.refusedForCrashes");
        overLimit = registry.counter("requests.overLimit");
        firstByte = registry.timer("requests.firstByte");
    }

    /** Counts a request by its end. */
    void ended(Ending ending) {
        switch (ending) {
            case ANSWERED -> answered.inc();
            case NOT_RUN -> notRun.inc();
            case UNKNOWN, TIMED_OUT -> unknown.inc();
            case BROKEN -> broken.inc();
            case CLIENT_GONE -> clientGone.inc();
        }
    }
}
