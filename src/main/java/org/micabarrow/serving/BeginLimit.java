package org.micabarrow.serving;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.views.View;
import org.xnio.XnioExecutor;

/**
 * Until when an endpoint that holds an older weight version than was named may begin a request. Told by a timer, and by the clock whenever
 * somebody looks: a timer does not count the time for which the instance was suspended.
 */
final class BeginLimit {

    private final ServedRequest run;
    private final EndpointRegistration endpoint;
    private final Runnable reached;
    private Optional<XnioExecutor.Key> timer = Optional.empty();

    BeginLimit(ServedRequest run, EndpointRegistration endpoint, Runnable reached) {
        this.run = run;
        this.endpoint = endpoint;
        this.reached = reached;
    }

    /** Looks whether there is a limit now, which a version that was named since may have brought, and whether it is reached. */
    void look() {
        versions().newerNamed(run.request(), endpoint).ifPresent(newer -> {
            long millis = versions().millisToBegin(newer);
            if (timer.isEmpty()) {
                timer = Optional.of(
                        run.thread().executeAfter(() -> reached(newer), Math.max(1, millis), TimeUnit.MILLISECONDS));
            } else if (millis <= 0) {
                reached(newer);
            }
        });
    }

    private void reached(View.Target newer) {
        // A still newer version may be named, or may have been, for which there is to be a time of its own.
        timer = Optional.empty();
        if (versions().holdsOlder(run.request(), endpoint, newer)) {
            reached.run();
        }
    }

    /** The request is at the endpoint no more. */
    void end() {
        timer.ifPresent(XnioExecutor.Key::remove);
    }

    private WeightVersions versions() {
        return run.parts().versions();
    }
}
