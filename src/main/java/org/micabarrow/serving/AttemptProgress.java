package org.micabarrow.serving;

import java.util.Optional;
import org.micabarrow.attempts.EarlySwitch;
import org.micabarrow.routing.EndpointLoad;
import org.micabarrow.routing.EndpointSelection;
import org.micabarrow.routing.ModelProfile;

/**
 * What one attempt shows of its endpoint's speed: the time until its first event, and the intervals between the others.
 * Used by the traffic thread.
 */
final class AttemptProgress {

    private final ServedRequest served;
    private final ServingContext context;
    private final EndpointLoad load;
    private final Optional<ModelProfile> model;
    private final long objectiveMillis;
    private final double predictedMillis;
    private final double factorWhenSent;
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
        this.model = served.request().route().kind().stream()
                ? context.versions().model(served.request())
                : Optional.empty();
        this.objectiveMillis = served.request().route().objectiveMillis();
        this.predictedMillis = selected.predictedMillis();
        this.startMillis = context.nowMillis();
        this.factorWhenSent = load.speed().factor(startMillis);
        this.stallTimer = new ResponseStallTimer(context::nowMillis);
        model.ifPresent(profile -> load.silence().sent(startMillis));
    }

    /** How long the next part has been awaited, in milliseconds; 0 if none is. */
    long waitingMillis() {
        return stallTimer.waitingMillis();
    }

    /**
     * Records that a part of the response has arrived. The returned action runs {@code more}, which reads on, and
     * starts to wait for the next part.
     */
    Runnable onReceived(Runnable more) {
        long now = context.nowMillis();
        if (begun) {
            model.ifPresent(profile -> recordStep(profile, now));
        } else {
            begun = true;
            model.ifPresent(profile -> load.silence().begun(now));
            load.speed().firstEvent(predictedMillis, now - startMillis, now);
            context.metrics().recordFirstEvent(predictedMillis, now - startMillis);
        }
        return stallTimer.onReceived(() -> {
            awaitNext();
            more.run();
        });
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
        if (model.isPresent() && !ended && !awaiting) {
            awaiting = true;
            load.silence().awaits(context.nowMillis());
        }
    }

    /** Learns the length of an answer that came whole from this endpoint. */
    void completed() {
        if (!resumed) {
            model.ifPresent(profile -> context.answerLengths()
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
        } else if (!begun && model.isPresent()) {
            // Otherwise a mute endpoint would get the next request as soon as this one is given up.
            if (load.silence().mute(objectiveMillis, context.nowMillis())) {
                load.failures().connectionFailed(context.nowMillis());
            }
            load.silence().withdrawn();
        }
    }

    /** The state of the request at the endpoint while its first event has not come. */
    EarlySwitch.Waiting waiting(long millisToObjective) {
        long now = context.nowMillis();
        double slower = Math.max(1, load.speed().factor(now) / factorWhenSent);
        return new EarlySwitch.Waiting(
                now - startMillis,
                predictedMillis * slower,
                millisToObjective,
                load.silence().mute(objectiveMillis, now));
    }
}
