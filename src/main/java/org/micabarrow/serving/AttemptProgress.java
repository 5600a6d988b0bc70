package org.micabarrow.serving;

import java.util.Optional;
import org.micabarrow.attempts.AttemptPolicy;
import org.micabarrow.attempts.EarlySwitch;
import org.micabarrow.routing.EndpointLoad;
import org.micabarrow.routing.EndpointSelection;
import org.micabarrow.routing.ModelProfile;

/**
 * What one attempt shows of its endpoint's speed: the time until its first event, and the intervals between the others;
 * and whether the request goes elsewhere because of it. Used by the traffic thread.
 */
final class AttemptProgress {

    private static final String SWITCHED_EARLY = "the endpoint is slow, and another one would still be in time";

    private final ServedRequest served;
    private final ServingContext context;
    private final EndpointLoad load;
    private final Optional<ModelProfile> model;
    private final Optional<ModelProfile> streamedModel;
    private final long objectiveMillis;
    private final double predictedMillis;
    private final double engineFactorWhenSent;
    private final long startMillis;
    private final ResponseStallTimer stallTimer;
    private final boolean resumed;
    private boolean begun;
    private boolean awaiting;
    private boolean ended;

    AttemptProgress(ServedRequest served, EndpointSelection.Selected selected) {
        this.served = served;
        this.context = served.context();
        this.resumed = served.events().lastId().isPresent();
        this.load = context.load(selected.endpoint());
        this.model = context.versions().model(served.request());
        this.streamedModel = served.request().route().kind().stream() ? model : Optional.empty();
        this.objectiveMillis = served.request().route().objectiveMillis();
        this.predictedMillis = selected.predictedMillis();
        this.startMillis = context.nowMillis();
        this.engineFactorWhenSent = load.speed().engineFactor(startMillis);
        this.stallTimer = new ResponseStallTimer(context::nowMillis);
        streamedModel.ifPresent(profile -> load.silence().sent(startMillis));
    }

    /**
     * Records that a part of the response has arrived. The returned action runs {@code more}, which reads on, and
     * starts to wait for the next part.
     */
    Runnable onReceived(Runnable more) {
        long now = context.nowMillis();
        if (begun) {
            streamedModel.ifPresent(profile -> recordStep(profile, now));
        } else {
            begun = true;
            streamedModel.ifPresent(profile -> load.silence().begun(now));
            model.ifPresent(profile -> recordFirstEvent(now));
        }
        return stallTimer.onReceived(() -> {
            awaitNext();
            more.run();
        });
    }

    private void recordFirstEvent(long now) {
        load.speed().firstEvent(predictedMillis, now - startMillis, now);
        context.metrics().recordFirstEvent(predictedMillis, now - startMillis);
    }

    private void recordStep(ModelProfile profile, long now) {
        if (awaiting) {
            awaiting = false;
            long gapMillis = stallTimer.waitingMillis();
            load.silence().arrived(gapMillis, now);
            load.speed().stepped(profile.passMillis(load.requests(now)), gapMillis, now);
        }
    }

    private void awaitNext() {
        if (streamedModel.isPresent() && !ended && !awaiting) {
            awaiting = true;
            load.silence().awaits(context.nowMillis());
        }
    }

    /** Learns the length of an answer that came whole from this endpoint. */
    void completed() {
        if (!resumed) {
            streamedModel.ifPresent(profile -> context.answerLengths()
                    .observed(
                            served.request().route().name(),
                            served.request().size(),
                            served.events().count() * profile.stride()));
        }
    }

    /** Records that the attempt has ended. */
    void ended() {
        ended = true;
        if (awaiting) {
            awaiting = false;
            load.silence().ended();
        } else if (!begun && streamedModel.isPresent()) {
            // Otherwise a mute endpoint would get the next request as soon as this one is given up.
            if (load.silence().mute(objectiveMillis, context.nowMillis())) {
                load.failures().connectionFailed(context.nowMillis());
            }
            load.silence().withdrawn();
        }
    }

    /**
     * Decides whether the request goes to another endpoint, and takes one retry from the budget if so. Returns the
     * reason.
     */
    Optional<String> reserveSwitch() {
        if (overdue() && (!served.response().started() || served.canResume()) && served.reserveRetry()) {
            return Optional.of("the endpoint has sent nothing for " + stallTimer.waitingMillis() + " ms");
        }
        return reserveEarlySwitch() ? Optional.of(SWITCHED_EARLY) : Optional.empty();
    }

    /**
     * Whether the next part is overdue although the endpoint's instance responds: the endpoint may have lost the
     * request. If the link was slow lately, the data is probably in transit.
     */
    private boolean overdue() {
        return !load.contact().linkRecentlySlow(context.nowMillis())
                && AttemptPolicy.overdue(served.request().route(), stallTimer.waitingMillis());
    }

    /** Whether the response has not begun and would be in time at another endpoint only. */
    private boolean reserveEarlySwitch() {
        if (begun || model.isEmpty()) {
            return false;
        }
        long now = context.nowMillis();
        // Queues of a busy moment are as long elsewhere; what was read of the prompt would be read again.
        double slower = Math.max(1, load.speed().engineFactor(now) / engineFactorWhenSent);
        EarlySwitch.Waiting waiting = new EarlySwitch.Waiting(
                now - startMillis,
                predictedMillis * slower,
                served.millisUntilObjective(),
                load.silence().mute(objectiveMillis, now));
        return EarlySwitch.due(served.request().route(), waiting)
                && served.reserveRetry(other -> EarlySwitch.inTimeElsewhere(waiting, other.predictedMillis()));
    }
}
