package org.micabarrow.play;

import java.util.List;

/**
 * Requests of one kind that come for a while.
 *
 * @param kind what is asked
 * @param organisations whose they are, each as often as it is listed
 * @param perSecond requests a second
 * @param fromMillis when the first may come
 * @param toMillis when the last may come
 */
record CallerStream(Kind kind, List<String> organisations, double perSecond, double fromMillis, double toMillis) {

    /**
     * A kind of request.
     *
     * @param name its name
     * @param priority its priority, 0 is the most urgent
     * @param objectiveMillis the time within which its response should begin
     * @param promptTokens the mean of its prompt
     * @param answerTokens the mean of its answer
     */
    record Kind(String name, int priority, long objectiveMillis, int promptTokens, int answerTokens) {}
}
