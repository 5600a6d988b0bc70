package org.micabarrow.views;

import java.util.List;

/**
 * Up to where a process knows the records that changed what it believes. Endpoints write their entries again and again, mostly
 * without a change; and most manifests change nothing that agents act on.
 *
 * @param operator the offset after the last such record of operators
 * @param endpoints the offset after the last such record of endpoints
 * @param weights the offset after the last record of operators that agents act on: a named weight version, or a manifest with
 *     other services than the one before
 */
public record ChangeOffsets(long operator, long endpoints, long weights) {

    /**
     * Changes of which the last one of operators is one that agents act on.
     *
     * @param operator the offset after the last record of operators
     * @param endpoints the offset after the last record of endpoints that changed anything
     */
    public ChangeOffsets(long operator, long endpoints) {
        this(operator, endpoints, operator);
    }

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
            case NAMED, CRASHES -> 0;
        };
    }

    ChangeOffsets withOperator(List<StoredRecord> changing, List<StoredRecord> changingWeights) {
        return new ChangeOffsets(after(operator, changing), endpoints, after(weights, changingWeights));
    }

    ChangeOffsets withEndpoints(List<StoredRecord> changing) {
        return new ChangeOffsets(operator, after(endpoints, changing), weights);
    }

    private static long after(long known, List<StoredRecord> changing) {
        long last = changing.stream().mapToLong(StoredRecord::offset).max().orElse(-1);
        return Math.max(known, last + 1);
    }
}
