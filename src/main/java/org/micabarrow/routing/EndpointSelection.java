package org.micabarrow.routing;

import java.util.OptionalLong;

/** The result of selecting an endpoint for a request. */
public sealed interface EndpointSelection {

    /**
     * An endpoint was selected.
     *
     * @param endpoint the endpoint to send the request to
     * @param predictedMillis the predicted time until its first event, in milliseconds
     */
    record Selected(EndpointRegistration endpoint, double predictedMillis) implements EndpointSelection {}

    /**
     * All eligible endpoints are full.
     *
     * @param endpoints the number of eligible endpoints
     */
    record Full(int endpoints) implements EndpointSelection {}

    /**
     * All eligible endpoints are in backoff.
     *
     * @param endpoints the number of eligible endpoints
     * @param millis the time until the first backoff ends, in milliseconds
     */
    record BackingOff(int endpoints, long millis) implements EndpointSelection {}

    /**
     * This entry has used up its quota share at all eligible endpoints.
     *
     * @param endpoints the number of eligible endpoints
     * @param millis the time until one of them may be sent another request, in milliseconds; empty if their rate limits
     *     are left entirely to other entries
     */
    record RateLimited(int endpoints, OptionalLong millis) implements EndpointSelection {}

    /**
     * This entry has used up its quota share at all eligible endpoints, some of which only bear few requests because
     * they are cold.
     *
     * @param endpoints the number of eligible endpoints
     * @param millis the time until one of the cold ones may be sent another request, in milliseconds; empty if they are
     *     left entirely to other entries
     */
    record Cold(int endpoints, OptionalLong millis) implements EndpointSelection {}

    /** No endpoint is eligible. */
    record NoneEligible() implements EndpointSelection {}
}
