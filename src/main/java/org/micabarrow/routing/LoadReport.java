package org.micabarrow.routing;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * A report of an endpoint's agent about the endpoint's load.
 *
 * @param requests the number of requests at the endpoint, its queue included
 * @param othersPromptTokens the prompt tokens of other entries' requests that wait there
 * @param loading whether the endpoint is loading weights
 * @param version the weight version it holds; 0 for none
 * @param allottedSlots the free slots of the endpoint that are allotted to this entry until the next report
 * @param start identifies the endpoint's start, see {@link EndpointStart#token}
 * @param draining whether the endpoint reports that it is draining
 * @param condition the endpoint's progress; empty if the agent does not tell it
 */
public record LoadReport(
        int requests,
        int othersPromptTokens,
        boolean loading,
        long version,
        int allottedSlots,
        OptionalInt start,
        boolean draining,
        Optional<EndpointCondition> condition) {

    /** Checks that no component is null. */
    public LoadReport {
        Objects.requireNonNull(start, "start is null");
        Objects.requireNonNull(condition, "condition is null");
    }

    /** Value of {@link #allottedSlots} if an agent does not allot slots: all free slots may be used. */
    public static final int UNLIMITED_SLOTS = Integer.MAX_VALUE;

    /**
     * Creates a report without the endpoint's condition.
     *
     * @param requests the number of requests at the endpoint, its queue included
     * @param othersPromptTokens the prompt tokens of other entries' requests that wait there
     * @param loading whether the endpoint is loading weights
     * @param version the weight version it holds; 0 for none
     * @param allottedSlots the free slots of the endpoint that are allotted to this entry until the next report
     * @param start identifies the endpoint's start, see {@link EndpointStart#token}
     * @param draining whether the endpoint reports that it is draining
     */
    public LoadReport(
            int requests,
            int othersPromptTokens,
            boolean loading,
            long version,
            int allottedSlots,
            OptionalInt start,
            boolean draining) {
        this(requests, othersPromptTokens, loading, version, allottedSlots, start, draining, Optional.empty());
    }

    /**
     * Creates the report of an endpoint that is not draining.
     *
     * @param requests the number of requests at the endpoint, its queue included
     * @param othersPromptTokens the prompt tokens of other entries' requests that wait there
     * @param loading whether the endpoint is loading weights
     * @param version the weight version it holds; 0 for none
     * @param allottedSlots the free slots of the endpoint that are allotted to this entry until the next report
     * @param start identifies the endpoint's start, see {@link EndpointStart#token}
     */
    public LoadReport(
            int requests, int othersPromptTokens, boolean loading, long version, int allottedSlots, OptionalInt start) {
        this(requests, othersPromptTokens, loading, version, allottedSlots, start, false);
    }

    /**
     * Creates the report of an agent that does not allot slots.
     *
     * @param requests the number of requests at the endpoint, its queue included
     * @param othersPromptTokens the prompt tokens of other entries' requests that wait there
     * @param loading whether the endpoint is loading weights
     * @param version the weight version it holds; 0 for none
     */
    public LoadReport(int requests, int othersPromptTokens, boolean loading, long version) {
        this(requests, othersPromptTokens, loading, version, UNLIMITED_SLOTS);
    }

    /**
     * Creates the report of an endpoint that does not report its start time.
     *
     * @param requests the number of requests at the endpoint, its queue included
     * @param othersPromptTokens the prompt tokens of other entries' requests that wait there
     * @param loading whether the endpoint is loading weights
     * @param version the weight version it holds; 0 for none
     * @param allottedSlots the free slots of the endpoint that are allotted to this entry until the next report
     */
    public LoadReport(int requests, int othersPromptTokens, boolean loading, long version, int allottedSlots) {
        this(requests, othersPromptTokens, loading, version, allottedSlots, OptionalInt.empty());
    }

    /**
     * Returns a copy of this report for one entry.
     *
     * @param otherPromptTokens the prompt tokens of other entries' requests that wait there
     * @param slots the number of free slots allotted to the entry
     * @return the report for the entry
     */
    public LoadReport forEntry(int otherPromptTokens, int slots) {
        return new LoadReport(requests, otherPromptTokens, loading, version, slots, start, draining, condition);
    }

    /**
     * Returns a copy of this report with the endpoint's condition.
     *
     * @param newCondition the condition
     * @return the report
     */
    public LoadReport withCondition(Optional<EndpointCondition> newCondition) {
        return new LoadReport(
                requests, othersPromptTokens, loading, version, allottedSlots, start, draining, newCondition);
    }
}
