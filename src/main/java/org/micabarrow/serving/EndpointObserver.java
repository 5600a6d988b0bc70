package org.micabarrow.serving;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.micabarrow.routing.EndpointLoad;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.serving.EndpointProtocol.ResponseHead;

/** Records what the response to one attempt states about its endpoint, which later routing decisions use. */
final class EndpointObserver {

    private final ServedRequest served;
    private final ServingContext context;
    private final EndpointRegistration endpoint;
    private final EndpointLoad load;
    private final long sentMillis;

    /**
     * Creates an observer.
     *
     * @param served the request
     * @param endpoint the endpoint of the attempt
     * @param sentMillis the time at which the attempt began, on the monotonic clock
     */
    EndpointObserver(ServedRequest served, EndpointRegistration endpoint, long sentMillis) {
        this.served = Objects.requireNonNull(served, "served is null");
        this.context = served.context();
        this.endpoint = Objects.requireNonNull(endpoint, "endpoint is null");
        this.load = context.load(endpoint);
        this.sentMillis = sentMillis;
    }

    /**
     * Records the state that a response head contains.
     *
     * @param head the head of a response that is known to come from this endpoint
     */
    void headReceived(ResponseHead head) {
        if (head.draining()) {
            context.markDraining(endpoint);
        }
        head.backoffMillis().ifPresent(millis -> {
            load.backoff().requested(millis, context.nowMillis());
            served.log().backoffRequested(endpoint, millis);
        });
        head.coldMillis().ifPresent(millis -> context.coldStated(endpoint, millis));
        if (load.rateLimit().responseReceived(head.rateLimit(), sentMillis, context.nowMillis())) {
            load.rateLimit().logChange("answer");
            context.reportRateLimit(endpoint);
        }
    }

    /**
     * Records that the endpoint processed the request.
     *
     * @param status the status of its response
     */
    void statusReceived(int status) {
        if (HeadClassification.isError(status)) {
            load.failures().errorReceived(context.nowMillis());
        } else {
            load.failures().succeeded();
            load.backoff().responded(context.nowMillis());
            context.metrics().firstByte.update(served.elapsedMillis(), TimeUnit.MILLISECONDS);
        }
    }
}
