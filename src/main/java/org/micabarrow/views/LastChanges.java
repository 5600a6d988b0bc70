package org.micabarrow.views;

import org.micabarrow.views.ViewKeeper.Topic;

/**
 * Up to where a process knows the records that changed what it believes. Endpoints write their entries again and again, mostly
 * without a change.
 *
 * @param operator the offset after the last such record of operators
 * @param endpoints the offset after the last such record of endpoints
 */
public record LastChanges(long operator, long endpoints) {

    /**
     * Of one topic.
     *
     * @param topic the topic
     * @return the offset after its last change; 0 for a topic of which no changes are told
     */
    public long of(Topic topic) {
        return switch (topic) {
            case OPERATOR -> operator;
            case ENDPOINTS -> endpoints;
            case NAMED -> 0;
        };
    }
}
