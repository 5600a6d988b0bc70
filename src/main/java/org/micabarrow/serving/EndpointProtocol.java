package org.micabarrow.serving;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.attempts.EventSplitter;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.liveness.EndpointIdentity;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.transport.HttpCall;

/** The wire format of requests and responses between an entry and an endpoint. */
public interface EndpointProtocol {

    /**
     * The parameters of one attempt.
     *
     * @param endpoint the endpoint to send to
     * @param remainingMillis how long the client will still wait
     * @param requiredVersion the only weight version that may serve the request; empty for any
     * @param lastEventId the id of the last event received, to resume a stream after it
     * @param objectiveMissed whether the objective has been missed, so that the request gets the lowest priority
     */
    record AttemptParameters(
            EndpointRegistration endpoint,
            long remainingMillis,
            Optional<Long> requiredVersion,
            Optional<String> lastEventId,
            boolean objectiveMissed) {}

    /**
     * The head of an endpoint's response.
     *
     * @param status its HTTP status
     * @param matchesAttempt whether it belongs to the request that was sent rather than to an earlier one
     * @param signed whether it carries the endpoint's signature
     * @param notRun whether it states that the request was not run
     * @param misdirected whether it states that the request was meant for another endpoint or version
     * @param weightVersion the weight version that served the request
     * @param draining whether the endpoint states that it is draining
     * @param backoffMillis how long the endpoint asks to get no requests from this process; empty if unspecified
     * @param rateLimit the endpoint's rate limit in requests per second over all entries; empty if unspecified
     * @param coldMillis how much longer the endpoint stays cold, in milliseconds; empty if it does not state that
     * @param forwardedHeaders the headers to forward to the client
     */
    record ResponseHead(
            int status,
            boolean matchesAttempt,
            boolean signed,
            boolean notRun,
            boolean misdirected,
            Optional<Long> weightVersion,
            boolean draining,
            OptionalLong backoffMillis,
            OptionalDouble rateLimit,
            OptionalLong coldMillis,
            HeaderFields forwardedHeaders) {

        private static final int SUCCESS_CLASS = 2;
        private static final int STATUSES_PER_CLASS = 100;
        private static final String CONTENT_TYPE = "Content-Type";

        /** Whether the body is a stream of events, if the route's responses are: unless it states another type. */
        boolean isEventStream() {
            return status / STATUSES_PER_CLASS == SUCCESS_CLASS
                    && forwardedHeaders.all(CONTENT_TYPE).stream().allMatch(EventSplitter::isEventStream);
        }

        /**
         * Whether the response certainly comes from the intended endpoint; another endpoint at its address states that
         * it is another.
         */
        boolean isFromIntendedEndpoint() {
            return !misdirected && (matchesAttempt || notRun);
        }
    }

    /**
     * Encodes a request.
     *
     * @param request the request
     * @param parameters the parameters of the attempt
     * @return the request as sent
     */
    HttpCall encode(ClientRequest request, AttemptParameters parameters);

    /**
     * Decodes the head of a response.
     *
     * @param request the request
     * @param status the HTTP status
     * @param headers the headers as received
     * @return the decoded head
     */
    ResponseHead decodeHead(ClientRequest request, int status, HeaderFields headers);

    /**
     * Encodes a query to which an endpoint answers which one it is, without running anything.
     *
     * @param endpoint the endpoint that is expected at the address
     * @param healthPath the health path of its service; empty if it runs a model or names no such path
     * @return the query as sent
     */
    HttpCall encodeIdentityQuery(EndpointRegistration endpoint, Optional<String> healthPath);

    /**
     * Decodes the answer to such a query, whatever its status.
     *
     * @param headers the headers as received
     * @param body the body
     * @return what the endpoint states of itself
     */
    EndpointIdentity decodeIdentity(HeaderFields headers, byte[] body);
}
