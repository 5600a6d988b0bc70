package org.micabarrow.serving;

import org.micabarrow.admission.AdmissionControl.Decision;
import org.micabarrow.attempts.AttemptOutcome;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.crashes.LazyDigest;
import org.micabarrow.routing.EndpointSelection;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.EndpointLoad;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes a line for each decision on one request, with what decided it and how old that was. */
final class RequestLog {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.request");

    private final ServingParts parts;
    private final ClientRequest request;
    private final long sinceFirstTryMillis;
    private final EventTimes eventTimes;
    private final LazyDigest digest;

    RequestLog(
            ServingParts parts,
            ClientRequest request,
            long sinceFirstTryMillis,
            EventTimes eventTimes,
            LazyDigest digest) {
        this.digest = digest;
        this.parts = parts;
        this.request = request;
        this.sinceFirstTryMillis = sinceFirstTryMillis;
        this.eventTimes = eventTimes;
    }

    void waits(Decision.Wait wait, long millisToObjective) {
        LOG.info(
                "event=waits request={} endpoints={} toObjectiveMs={} spareMs={} ahead={} {}",
                request.id(),
                wait.endpoints(),
                millisToObjective,
                wait.millis(),
                parts.line().size(),
                parts.viewAge());
    }

    void sent(EndpointSelection.Send chosen, String why, int attempt, long millisToObjective, long millisLeft) {
        EndpointLoad load = parts.load(chosen.endpoint());
        long now = parts.nowMillis();
        LOG.info(
                "event=sent request={} endpoint={} hall={} attempt={} why=\"{}\" predictedMs={} requestsThere={}"
                        + " toldMsAgo={} toObjectiveMs={} leftMs={} {}",
                request.id(),
                chosen.endpoint().id(),
                chosen.endpoint().dataHall(),
                attempt,
                why,
                Math.round(chosen.predictedMillis()),
                load.requests(now),
                load.hasAgent() ? load.millisSinceTold(now) : "-",
                millisToObjective,
                millisLeft,
                parts.viewAge());
    }

    void rests(EndpointRegistration endpoint, long millis) {
        LOG.info("event=endpoint_rests request={} endpoint={} forMs={}", request.id(), endpoint.id(), millis);
    }

    void notSent(EndpointRegistration endpoint) {
        LOG.info(
                "event=not_sent request={} endpoint={} why=\"its agent did not answer in time, or it closes\"",
                request.id(),
                endpoint.id());
    }

    /** A sending is given up because nobody wants its answer any more. */
    void takenBack(EndpointRegistration endpoint, String progress, String why) {
        LOG.info("event=taken_back request={} endpoint={} {} why=\"{}\"", request.id(), endpoint.id(), progress, why);
    }

    /**
     * A sending ended without an answer that may be passed on. Where the request may have run, its digest tells whether it is one
     * that came before, under another id or at another entry.
     */
    void failed(EndpointRegistration endpoint, AttemptOutcome end, String progress, String why) {
        LOG.info(
                "event=attempt_failed request={} digest={} endpoint={} end={} {} why=\"{}\"",
                request.id(),
                end == AttemptOutcome.UNKNOWN ? digest.get() : "-",
                endpoint.id(),
                end,
                progress,
                why);
    }

    void finished(String outcome, String why, int attempts, long millis) {
        LOG.info(
                "event=finished request={} route={} organisation={} outcome={} attempts={} sinceFirstTryMs={} firstMs={}"
                        + " pauseMs={} ms={} why=\"{}\"",
                request.id(),
                request.route().name(),
                request.organisation().orElse("-"),
                outcome,
                attempts,
                sinceFirstTryMillis,
                eventTimes.firstMillis(),
                eventTimes.longestPauseMillis(),
                millis,
                why);
    }
}
