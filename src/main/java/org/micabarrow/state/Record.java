package org.micabarrow.state;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Objects;

/** A record of the configuration stream. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Record.PlanProposed.class, name = "planProposed"),
    @JsonSubTypes.Type(value = Record.PlanConfirmed.class, name = "planConfirmed"),
    @JsonSubTypes.Type(value = Record.ReplicaReplaced.class, name = "replicaReplaced"),
    @JsonSubTypes.Type(value = Record.OriginDrawn.class, name = "originDrawn"),
    @JsonSubTypes.Type(value = Record.Checkpoint.class, name = "checkpoint")
})
public sealed interface Record {

    /** The version of the records' form that this program writes and understands. */
    int SCHEMA = 1;

    /**
     * The record's own name, under which a second copy is known.
     *
     * @return the id
     */
    String id();

    /**
     * The offset of the state that the writer had seen.
     *
     * @return the offset
     */
    long basis();

    /**
     * A plan that an operator may confirm.
     *
     * @param id the record's id
     * @param plan the plan
     */
    record PlanProposed(String id, Plan plan) implements Record {

        /** Checks the parts. */
        public PlanProposed {
            Objects.requireNonNull(id, "id is null");
            Objects.requireNonNull(plan, "plan is null");
        }

        @Override
        public long basis() {
            return plan.basis();
        }
    }

    /**
     * An operator's confirmation of a plan.
     *
     * @param id the record's id
     * @param basis the offset of the state that the writer had seen
     * @param planId the plan
     * @param operator who confirmed it
     */
    record PlanConfirmed(String id, long basis, String planId, String operator) implements Record {

        /** Checks the parts. */
        public PlanConfirmed {
            Objects.requireNonNull(id, "id is null");
            Objects.requireNonNull(planId, "planId is null");
            Objects.requireNonNull(operator, "operator is null");
        }
    }

    /**
     * The replacement of a lost replica inside a confirmed envelope.
     *
     * @param id the record's id
     * @param basis the offset of the state that the writer had seen
     * @param placement the placement
     * @param lost the instance that is gone
     * @param replacement where the replica goes
     */
    record ReplicaReplaced(String id, long basis, String placement, String lost, Replica replacement)
            implements Record {

        /** Checks the parts. */
        public ReplicaReplaced {
            Objects.requireNonNull(id, "id is null");
            Objects.requireNonNull(placement, "placement is null");
            Objects.requireNonNull(lost, "lost is null");
            Objects.requireNonNull(replacement, "replacement is null");
        }
    }

    /**
     * An instance's wish to draw bytes from the origin beyond the plan's feeds.
     *
     * @param id the record's id
     * @param basis the offset of the state that the writer had seen
     * @param placement the placement in whose envelope it draws
     * @param instance the instance that draws
     * @param bytes how many bytes
     */
    record OriginDrawn(String id, long basis, String placement, String instance, long bytes) implements Record {

        /** Checks the parts. */
        public OriginDrawn {
            Objects.requireNonNull(id, "id is null");
            Objects.requireNonNull(placement, "placement is null");
            Objects.requireNonNull(instance, "instance is null");
        }
    }

    /**
     * The folded state, written again before the log lets its records go.
     *
     * @param id the record's id
     * @param state the state
     * @param digest the state's digest
     */
    record Checkpoint(String id, FoldedState state, String digest) implements Record {

        /** Checks the parts. */
        public Checkpoint {
            Objects.requireNonNull(id, "id is null");
            Objects.requireNonNull(state, "state is null");
            Objects.requireNonNull(digest, "digest is null");
        }

        @Override
        public long basis() {
            return state.offset();
        }
    }

    /**
     * A record with the version of its form.
     *
     * @param schema the version
     * @param record the record
     */
    record Envelope(int schema, Record record) {

        /** Checks the parts. */
        public Envelope {
            Objects.requireNonNull(record, "record is null");
        }
    }
}
