package org.micabarrow.serving;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.micabarrow.admission.SizeBand;

/** Counters and latencies of an entry's requests. */
final class ServingMetrics {

    private final MetricRegistry registry;
    final Counter received;
    private final Counter answered;
    private final Counter notRun;
    private final Counter unknown;
    private final Counter broken;
    private final Counter clientGone;
    final Counter retries;

    /** Responses that ended with their connection, and those of them whose endpoint was not found to run afterwards. */
    final Counter endedByConnection;

    final Counter endUnproven;
    final Counter poisonRequests;
    final Counter rateLimited;
    final Counter placementRefused;
    final Counter stopRefused;
    final Timer firstByte;
    private final Histogram firstEventOverPredicted;

    /** The age of the report by which an endpoint was selected. */
    final Timer reportAge;

    ServingMetrics(MetricRegistry registry) {
        this.registry = registry;
        received = registry.counter("requests.received");
        answered = registry.counter("requests.answered");
        notRun = registry.counter("requests.notRun");
        unknown = registry.counter("requests.unknown");
        broken = registry.counter("requests.broken");
        clientGone = registry.counter("requests.clientGone");
        retries = registry.counter("requests.repeats");
        endedByConnection = registry.counter("requests.endedByConnection");
        endUnproven = registry.counter("requests.endUnproven");
        poisonRequests = registry.counter("requests.refusedForCrashes");
        rateLimited = registry.counter("requests.overLimit");
        placementRefused = registry.counter("requests.refusedForPlacement");
        stopRefused = registry.counter("requests.refusedForStop");
        firstByte = registry.timer("requests.firstByte");
        reportAge = registry.timer("load.reportAge");
        firstEventOverPredicted = registry.histogram("requests.firstEventOverPredictedPercent");
    }

    /** Records by how much a first event differed from its prediction: 100 is as predicted. */
    void recordFirstEvent(double predictedMillis, long tookMillis) {
        firstEventOverPredicted.update(Math.round(100 * tookMillis / Math.max(1, predictedMillis)));
    }

    /** Counts a request for a model by its size among those of its route, and by what became of it. */
    void countSize(SizeBand band, String event) {
        registry.counter("requests.size." + band.logName() + "." + event).inc();
    }

    /** Counts a request by its outcome. */
    void countOutcome(RequestOutcome outcome) {
        switch (outcome) {
            case ANSWERED -> answered.inc();
            case NOT_RUN -> notRun.inc();
            case UNKNOWN, TIMED_OUT -> unknown.inc();
            case BROKEN -> broken.inc();
            case CLIENT_GONE -> clientGone.inc();
        }
    }
}
