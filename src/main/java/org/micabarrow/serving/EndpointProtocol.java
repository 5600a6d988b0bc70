package org.micabarrow.serving;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.transport.HttpCall;

/** How requests and answers are written on the wire between an entry and an endpoint. */
public interface EndpointProtocol {

    /**
     * What accompanies one sending of a request.
     *
     * @param endpoint where to
     * @param millisLeft how long the client will still wait
     * @param version the only weight version that may answer, empty for any
     * @param lastEvent the last event received, if a stream is to go on after it
     * @param late whether its objective is over, so that all others go before it
     */
    record Sending(
            EndpointRegistration endpoint,
            long millisLeft,
            Optional<Long> version,
            Optional<String> lastEvent,
            boolean late) {}

    /**
     * The beginning of an endpoint's answer.
     *
     * @param status its HTTP status
     * @param own whether it answers the request that was sent, and not an earlier one
     * @param signed whether it carries the endpoint's signature
     * @param notRun whether it states that the request has not run
     * @param misdirected whether it states that another endpoint or version was meant
     * @param weightVersion the weight version that answers
     * @param leaving whether the endpoint says that it leaves
     * @param restMillis for how long the endpoint wants nothing more of this process; empty if it does not say
     * @param limit the requests a second that the endpoint takes from all entries together; empty if it names no limit
     * @param passedOn the headers for the client
     */
    record AnswerHead(
            int status,
            boolean own,
            boolean signed,
            boolean notRun,
            boolean misdirected,
            Optional<Long> weightVersion,
            boolean leaving,
            OptionalLong restMillis,
            OptionalDouble limit,
            Map<String, String> passedOn) {

        /** Whether the answer is surely of the endpoint that was meant; another one at its address says that it is another. */
        boolean ofThisEndpoint() {
            return !misdirected && (own || notRun);
        }
    }

    /**
     * Writes a request.
     *
     * @param request the request
     * @param sending what accompanies it
     * @return the request as it is to be sent
     */
    HttpCall call(ClientRequest request, Sending sending);

    /**
     * Reads the beginning of an answer.
     *
     * @param request the request
     * @param status the HTTP status
     * @param headers the headers as received
     * @return what they say
     */
    AnswerHead head(ClientRequest request, int status, Map<String, String> headers);
}
