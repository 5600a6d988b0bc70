package org.micabarrow.serving;

import java.util.Optional;
import org.micabarrow.admission.AdmissionControl.Decision;
import org.micabarrow.admission.SizeBand;
import org.micabarrow.attempts.AttemptOutcome;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.crashes.RequestCauses;
import org.micabarrow.liveness.Liveness;
import org.micabarrow.routing.EndpointLoad;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.EndpointSelection;
import org.micabarrow.routing.RequestSize;
import org.micabarrow.views.StoredRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs each decision on one request, with the information it was based on and the age of that information. */
final class RequestLog {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.request");

    private final ServingContext context;
    private final ClientRequest request;
    private final long sinceFirstAttemptMillis;
    private final EventTimes eventTimes;
    private final RequestCauses causes;
    private final String band;

    RequestLog(
            ServingContext context,
            ClientRequest request,
            long sinceFirstAttemptMillis,
            EventTimes eventTimes,
            RequestCauses causes,
            Optional<SizeBand> band) {
        this.causes = causes;
        this.band = band.map(SizeBand::logName).orElse("-");
        this.context = context;
        this.request = request;
        this.sinceFirstAttemptMillis = sinceFirstAttemptMillis;
        this.eventTimes = eventTimes;
    }

    void waitsForSlot(Decision.Wait wait, long millisUntilObjective) {
        LOG.info(
                "event=waits request={} promptTokens={} size={} endpoints={} toObjectiveMs={} spareMs={} ahead={} {}",
                request.id(),
                request.promptTokens(),
                band,
                wait.endpoints(),
                millisUntilObjective,
                wait.millis(),
                context.waitQueue().size(),
                context.viewAge());
    }

    void sent(
            EndpointSelection.Selected selected,
            String reason,
            int attempt,
            Optional<String> resumesAfter,
            long millisUntilObjective,
            long remainingMillis) {
        EndpointLoad load = context.load(selected.endpoint());
        long now = context.nowMillis();
        LOG.info(
                "event=sent request={} endpoint={} hall={} attempt={} resumesAfter={} why=\"{}\" promptTokens={}"
                        + " predictedMs={} requestsThere={} toldMsAgo={} toObjectiveMs={} leftMs={} {}",
                request.id(),
                selected.endpoint().id(),
                selected.endpoint().dataHall(),
                attempt,
                resumesAfter.map(StoredRecord::loggable).orElse("-"),
                reason,
                request.promptTokens(),
                Math.round(selected.predictedMillis()),
                load.requests(now),
                load.contact().hasAgent() ? load.contact().millisSinceReport(now) : "-",
                millisUntilObjective,
                remainingMillis,
                context.viewAge());
    }

    void backoffRequested(EndpointRegistration endpoint, long millis) {
        LOG.info("event=endpoint_rests request={} endpoint={} forMs={}", request.id(), endpoint.id(), millis);
    }

    void notSent(EndpointRegistration endpoint) {
        LOG.info(
                "event=not_sent request={} endpoint={} why=\"its agent did not reply in time, or it may not get the request\"",
                request.id(),
                endpoint.id());
    }

    /** Logs that an attempt is cancelled because its response is no longer needed. */
    void cancelled(EndpointRegistration endpoint, String progress, String reason) {
        LOG.info(
                "event=taken_back request={} endpoint={} {} why=\"{}\"", request.id(), endpoint.id(), progress, reason);
    }

    /**
     * Logs that an attempt ended without a response that may be forwarded. If the request may have run, its digest
     * shows whether the same request came before, under another id or at another entry.
     */
    void attemptFailed(EndpointRegistration endpoint, AttemptOutcome outcome, String progress, String reason) {
        LOG.info(
                "event=attempt_failed request={} digest={} endpoint={} end={} {} why=\"{}\"",
                request.id(),
                outcome == AttemptOutcome.UNKNOWN ? causes.digest() : "-",
                endpoint.id(),
                outcome,
                progress,
                reason);
    }

    /**
     * Logs what was found out of an endpoint whose response ended with its connection.
     *
     * @param end how the response ended, and how much of it had arrived
     * @param millis how long its end was held back
     */
    void endChecked(EndpointRegistration endpoint, String end, Liveness liveness, long millis) {
        LOG.info(
                "event=end_checked request={} endpoint={} {} found={} checkMs={} why=\"{}\"",
                request.id(),
                endpoint.id(),
                end,
                liveness.getClass().getSimpleName(),
                millis,
                liveness.evidence());
    }

    /**
     * Logs the end of the request.
     *
     * @param toClient how the client recognises the end of its response
     */
    void finished(String outcome, String reason, int attempts, long millis, long remainingMillis, String toClient) {
        RequestSize size = request.size();
        LOG.info(
                "event=finished request={} route={} organisation={} outcome={} attempts={} promptTokens={}"
                        + " maxAnswerTokens={} size={} sinceFirstTryMs={} firstMs={} pauseMs={} forwarded={} ms={}"
                        + " leftMs={} {} why=\"{}\"",
                request.id(),
                request.route().name(),
                request.organisation().orElse("-"),
                outcome,
                attempts,
                size.promptTokens(),
                size.maxAnswerTokens().isPresent() ? size.maxAnswerTokens().getAsInt() : "-",
                band,
                sinceFirstAttemptMillis,
                eventTimes.firstMillis(),
                eventTimes.longestPauseMillis(),
                eventTimes.forwarded(),
                millis,
                remainingMillis,
                toClient,
                reason);
    }
}
