package org.micabarrow.state;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** What the reducer made of a record; the same on every node. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Verdict.Accepted.class, name = "accepted"),
    @JsonSubTypes.Type(value = Verdict.Duplicate.class, name = "duplicate"),
    @JsonSubTypes.Type(value = Verdict.Superseded.class, name = "superseded"),
    @JsonSubTypes.Type(value = Verdict.Refused.class, name = "refused")
})
public sealed interface Verdict {

    /** The record is in force. */
    record Accepted() implements Verdict {}

    /**
     * The same record was folded before.
     *
     * @param first the offset at which it was
     */
    record Duplicate(long first) implements Verdict {}

    /**
     * Something that the record touches has changed since its basis.
     *
     * @param key what has changed
     * @param at the offset of that change
     */
    record Superseded(String key, long at) implements Verdict {}

    /**
     * The record asks for what is not allowed.
     *
     * @param reason a sentence for a person
     */
    record Refused(String reason) implements Verdict {}
}
