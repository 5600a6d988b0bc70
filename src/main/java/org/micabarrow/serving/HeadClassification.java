package org.micabarrow.serving;

import java.util.Set;
import org.micabarrow.serving.EndpointProtocol.ResponseHead;

/** What the head of an endpoint's response means for the attempt. */
enum HeadClassification {

    /** The endpoint states that it did not run the request. */
    NOT_RUN,

    /** The address belongs to another endpoint or weight version, which did not run the request. */
    MISDIRECTED,

    /** The response does not belong to this request. */
    NO_ANSWER,

    /**
     * The response must not reach the client: it would suggest without proof that the request was not run, or would
     * follow a part of another response.
     */
    NOT_TO_PASS,

    /** The endpoint ran the request and failed. */
    ERROR,

    /** The response is forwarded. */
    ANSWER;

    private static final int SERVER_ERROR = 500;

    /**
     * Statuses from which a client may conclude that its request was not run. They prove nothing unless the endpoint
     * states it.
     */
    private static final Set<Integer> STATUSES_SUGGESTING_NOT_RUN = Set.of(408, 421, 429, 503);

    /**
     * Classifies a response head.
     *
     * @param head the head
     * @param repeatable whether the request may run twice
     * @param responseStarted whether the client has received a part of a response
     * @return the classification
     */
    static HeadClassification classify(ResponseHead head, boolean repeatable, boolean responseStarted) {
        if (head.notRun()) {
            return NOT_RUN;
        }
        if (head.misdirected()) {
            return MISDIRECTED;
        }
        if (!head.matchesAttempt() || !head.signed()) {
            return NO_ANSWER;
        }
        boolean suggestsNotRun = STATUSES_SUGGESTING_NOT_RUN.contains(head.status()) && !repeatable;
        if (suggestsNotRun || responseStarted && !head.isEventStream()) {
            return NOT_TO_PASS;
        }
        return isError(head.status()) ? ERROR : ANSWER;
    }

    /** Whether a status reports a failure of the endpoint. */
    static boolean isError(int status) {
        return status >= SERVER_ERROR;
    }
}
