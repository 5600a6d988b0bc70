package org.micabarrow.routing;

import java.util.OptionalLong;

/** What was chosen. */
public sealed interface EndpointSelection {

    /**
     * An endpoint.
     *
     * @param endpoint where to send the request
     * @param predictedMillis when its first event is expected
     */
    record Send(EndpointRegistration endpoint, double predictedMillis) implements EndpointSelection {}

    /**
     * All endpoints that could serve are full.
     *
     * @param endpoints how many there are
     */
    record Full(int endpoints) implements EndpointSelection {}

    /**
     * All endpoints that could serve have asked for rest.
     *
     * @param endpoints how many there are
     * @param millis how long the first of them rests, in milliseconds
     */
    record Resting(int endpoints, long millis) implements EndpointSelection {}

    /**
     * All endpoints that could serve have been sent what this entry may send them of the requests a second that they take.
     *
     * @param endpoints how many there are
     * @param millis how long it takes until one may be sent another request, in milliseconds; empty if that is left to other entries
     */
    record Limited(int endpoints, OptionalLong millis) implements EndpointSelection {}

    /** No endpoint can serve at all. */
    record None() implements EndpointSelection {}
}
