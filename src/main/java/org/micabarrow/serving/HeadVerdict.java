package org.micabarrow.serving;

import java.util.Set;
import org.micabarrow.serving.EndpointProtocol.AnswerHead;

/** What the head of an endpoint's answer means for the sending that it answers. */
enum HeadVerdict {

    /** The endpoint states that it did not run the request. */
    NOT_RUN,

    /** Another endpoint or weight version is there, which did not run it. */
    MISDIRECTED,

    /** What came is no answer to this request. */
    NO_ANSWER,

    /** It may not reach the client: it would look like "not run" without proof, or would follow a part of an answer. */
    NOT_TO_PASS,

    /** The endpoint ran the request and failed. */
    ERROR,

    /** It is passed on. */
    ANSWER;

    private static final int SERVER_ERROR = 500;

    /** By these a client may take a request for not run; from an endpoint that does not say so itself they prove nothing. */
    private static final Set<Integer> PROMISES_NOT_RUN = Set.of(408, 421, 429, 503);

    /**
     * Judges a head.
     *
     * @param head the head
     * @param repeatable whether the request may run twice
     * @param answerBegun whether its client has got a part of an answer
     * @return what it means
     */
    static HeadVerdict of(AnswerHead head, boolean repeatable, boolean answerBegun) {
        if (head.notRun()) {
            return NOT_RUN;
        }
        if (head.misdirected()) {
            return MISDIRECTED;
        }
        if (!head.own() || !head.signed()) {
            return NO_ANSWER;
        }
        boolean promises = PROMISES_NOT_RUN.contains(head.status()) && !repeatable;
        if (promises || answerBegun && isError(head.status())) {
            return NOT_TO_PASS;
        }
        return isError(head.status()) ? ERROR : ANSWER;
    }

    /** Whether a status says that the endpoint failed. */
    static boolean isError(int status) {
        return status >= SERVER_ERROR;
    }
}
