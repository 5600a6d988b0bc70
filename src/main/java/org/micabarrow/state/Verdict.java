package org.micabarrow.state;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * The decision of the reducer on a record, which is the same on every node. Verdicts are part of the folded state and of
 * its digest, so the reasons of refusals must be the same on every node too.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Verdict.Accepted.class, name = "accepted"),
    @JsonSubTypes.Type(value = Verdict.Duplicate.class, name = "duplicate"),
    @JsonSubTypes.Type(value = Verdict.Superseded.class, name = "superseded"),
    @JsonSubTypes.Type(value = Verdict.Refused.class, name = "refused")
})
public sealed interface Verdict {

    /** The record was applied. */
    record Accepted() implements Verdict {}

    /**
     * A record with the same id was folded before.
     *
     * @param first the offset at which it was first folded
     */
    record Duplicate(long first) implements Verdict {}

    /**
     * A key that the record changes was changed by another record after the state on which this one is based.
     *
     * @param key the key of the changed placement, organisation or instance
     * @param at the offset of the other change
     */
    record Superseded(String key, long at) implements Verdict {}

    /**
     * The record requests a change that is not allowed.
     *
     * @param reason a description for people
     */
    record Refused(String reason) implements Verdict {}
}
