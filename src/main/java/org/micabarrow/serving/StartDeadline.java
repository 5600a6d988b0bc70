package org.micabarrow.serving;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.views.View;
import org.xnio.XnioExecutor;

/**
 * The time until which an endpoint that holds an older weight version than the one named may begin a request. Enforced
 * by a timer and by each call of {@link #update}, since a timer does not count the time for which the instance was
 * suspended.
 */
final class StartDeadline {

    private final ServedRequest served;
    private final EndpointRegistration endpoint;
    private final Runnable onReached;
    private Optional<XnioExecutor.Key> timer = Optional.empty();

    StartDeadline(ServedRequest served, EndpointRegistration endpoint, Runnable onReached) {
        this.served = served;
        this.endpoint = endpoint;
        this.onReached = onReached;
    }

    /** Starts the timer if a newer version has been named since, and checks whether the deadline has passed. */
    void update() {
        versions().newerNamed(served.request(), endpoint).ifPresent(newer -> {
            long delayMillis = versions().millisUntilStartDeadline(newer);
            if (timer.isEmpty()) {
                timer = Optional.of(served.thread()
                        .executeAfter(() -> handleReached(newer), Math.max(1, delayMillis), TimeUnit.MILLISECONDS));
            } else if (delayMillis <= 0) {
                handleReached(newer);
            }
        });
    }

    private void handleReached(View.Target newer) {
        // A newer version may be named, or may have been named already, with a deadline of its own.
        timer = Optional.empty();
        if (versions().holdsOlderThan(served.request(), endpoint, newer)) {
            onReached.run();
        }
    }

    /** Stops the timer, because the request is no longer at the endpoint. */
    void cancel() {
        timer.ifPresent(XnioExecutor.Key::remove);
    }

    private WeightVersions versions() {
        return served.context().versions();
    }
}
