package org.micabarrow.views;

import java.util.List;

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

    LastChanges withOperator(List<StoredRecord> changing) {
        return new LastChanges(after(operator, changing), endpoints);
    }

    LastChanges withEndpoints(List<StoredRecord> changing) {
        return new LastChanges(operator, after(endpoints, changing));
    }

    private static long after(long known, List<StoredRecord> changing) {
        long last = changing.stream().mapToLong(StoredRecord::offset).max().orElse(-1);
        return Math.max(known, last + 1);
    }
}
