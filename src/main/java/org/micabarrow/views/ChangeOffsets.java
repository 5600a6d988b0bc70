package org.micabarrow.views;

import java.util.List;

/**
 * Offsets, with their eras, up to which a process knows the records that changed its view. Endpoints rewrite their
 * entries regularly, mostly without a change, and most manifests change nothing that agents use.
 *
 * @param operator the offset after the last operator record that changed the view
 * @param endpoints the offset after the last endpoint record that changed the view
 * @param weights the offset after the last operator record that agents use: a named weight version, or a manifest whose
 *     services differ from those of the previous one
 */
public record ChangeOffsets(long operator, long endpoints, long weights) {

    private static final long HASH_FACTOR = 31;

    /**
     * Creates offsets where the last operator record is one that agents use.
     *
     * @param operator the offset after the last operator record
     * @param endpoints the offset after the last endpoint record that changed the view
     */
    public ChangeOffsets(long operator, long endpoints) {
        this(operator, endpoints, operator);
    }

    // Written out, since every load query carries offsets, and the methods that a record is given take several times as
    // long where only the first compiler runs.

    @Override
    public boolean equals(Object other) {
        return other instanceof ChangeOffsets offsets
                && operator == offsets.operator
                && endpoints == offsets.endpoints
                && weights == offsets.weights;
    }

    @Override
    public int hashCode() {
        return Long.hashCode((operator * HASH_FACTOR + endpoints) * HASH_FACTOR + weights);
    }

    /**
     * Returns the offset of one topic.
     *
     * @param topic the topic
     * @return the offset after the last change; 0 for a topic whose changes are not tracked
     */
    public long of(Topic topic) {
        return switch (topic) {
            case OPERATOR -> operator;
            case ENDPOINTS -> endpoints;
            case NAMED, CRASHES -> 0;
        };
    }

    /**
     * Returns offsets of a topic that are of an era at least, so that processes that follow them notice that the store
     * has continued from an older copy. What agents use of the operator records need not have changed.
     */
    ChangeOffsets inEra(Topic topic, long era) {
        long first = EraOffset.of(era, 0);
        return switch (topic) {
            case OPERATOR -> new ChangeOffsets(Math.max(operator, first), endpoints, weights);
            case ENDPOINTS -> new ChangeOffsets(operator, Math.max(endpoints, first), weights);
            case NAMED, CRASHES -> this;
        };
    }

    ChangeOffsets withOperator(List<StoredRecord> changed, List<StoredRecord> changedWeights) {
        return new ChangeOffsets(offsetAfter(operator, changed), endpoints, offsetAfter(weights, changedWeights));
    }

    ChangeOffsets withEndpoints(List<StoredRecord> changed) {
        return new ChangeOffsets(operator, offsetAfter(endpoints, changed), weights);
    }

    private static long offsetAfter(long known, List<StoredRecord> changed) {
        long last = changed.stream().mapToLong(StoredRecord::offset).max().orElse(-1);
        return Math.max(known, last + 1);
    }
}
