package org.micabarrow.state;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Objects;

/** A record of the configuration stream in the log. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Record.PlanProposed.class, name = "planProposed"),
    @JsonSubTypes.Type(value = Record.PlanConfirmed.class, name = "planConfirmed"),
    @JsonSubTypes.Type(value = Record.ReplicaReplaced.class, name = "replicaReplaced"),
    @JsonSubTypes.Type(value = Record.OriginDrawn.class, name = "originDrawn"),
    @JsonSubTypes.Type(value = Record.Checkpoint.class, name = "checkpoint")
})
public sealed interface Record {

    /** The schema version that this program writes and reads. */
    int SCHEMA = 1;

    /**
     * Returns the unique id of the record, by which a repeated record is recognised.
     *
     * @return the id
     */
    String id();

    /**
     * Returns the offset of the state on which the writer based the record.
     *
     * @return the offset
     */
    long basis();

    /**
     * A proposed plan, which an operator may confirm.
     *
     * @param id the record's id
     * @param plan the plan
     */
    record PlanProposed(String id, Plan plan) implements Record {

        /** Rejects null values. */
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
     * @param basis the offset of the state on which the writer based the record
     * @param planId the id of the plan
     * @param operator the operator who confirmed it
     */
    record PlanConfirmed(String id, long basis, String planId, String operator) implements Record {

        /** Rejects null values. */
        public PlanConfirmed {
            Objects.requireNonNull(id, "id is null");
            Objects.requireNonNull(planId, "planId is null");
            Objects.requireNonNull(operator, "operator is null");
        }
    }

    /**
     * The replacement of a lost replica, as the confirmed envelope allows.
     *
     * @param id the record's id
     * @param basis the offset of the state on which the writer based the record
     * @param placement the name of the placement
     * @param lost the id of the instance that is gone
     * @param replacement the new replica
     */
    record ReplicaReplaced(String id, long basis, String placement, String lost, Replica replacement)
            implements Record {

        /** Rejects null values. */
        public ReplicaReplaced {
            Objects.requireNonNull(id, "id is null");
            Objects.requireNonNull(placement, "placement is null");
            Objects.requireNonNull(lost, "lost is null");
            Objects.requireNonNull(replacement, "replacement is null");
        }
    }

    /**
     * A request of an instance to fetch bytes from the origin in addition to those of the plan.
     *
     * @param id the record's id
     * @param basis the offset of the state on which the writer based the record
     * @param placement the name of the placement whose envelope must allow it
     * @param instance the id of the instance that fetches
     * @param bytes the number of bytes
     */
    record OriginDrawn(String id, long basis, String placement, String instance, long bytes) implements Record {

        /** Rejects null values. */
        public OriginDrawn {
            Objects.requireNonNull(id, "id is null");
            Objects.requireNonNull(placement, "placement is null");
            Objects.requireNonNull(instance, "instance is null");
        }
    }

    /**
     * The folded state, written to the log before the records that it summarises expire.
     *
     * @param id the record's id
     * @param state the folded state
     * @param digest the digest of the state
     */
    record Checkpoint(String id, FoldedState state, String digest) implements Record {

        /** Rejects null values. */
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
     * A record with its schema version, as written to the log.
     *
     * @param schema the schema version
     * @param record the record
     */
    record Envelope(int schema, Record record) {

        /** Rejects null values. */
        public Envelope {
            Objects.requireNonNull(record, "record is null");
        }
    }
}
