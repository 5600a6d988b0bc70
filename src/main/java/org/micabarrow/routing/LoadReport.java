package org.micabarrow.routing;

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
 */
public record LoadReport(
        int requests,
        int othersPromptTokens,
        boolean loading,
        long version,
        int places,
        OptionalInt start,
        boolean leaving) {

    /** Value of {@link #allottedSlots} if an agent does not allot slots: all free slots may be used. */
    public static final int ANY_PLACES = Integer.MAX_VALUE;

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
            int requests, int othersPromptTokens, boolean loading, long version, int places, OptionalInt start) {
        this(requests, othersPromptTokens, loading, version, places, start, false);
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
        this(requests, othersPromptTokens, loading, version, ANY_PLACES);
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
    public LoadReport(int requests, int othersPromptTokens, boolean loading, long version, int places) {
        this(requests, othersPromptTokens, loading, version, places, OptionalInt.empty());
    }

    /**
     * Returns a copy of this report for one entry.
     *
     * @param otherPromptTokens the prompt tokens of other entries' requests that wait there
     * @param slots the number of free slots allotted to the entry
     * @return the report for the entry
     */
    public LoadReport to(int others, int dealt) {
        return new LoadReport(requests, others, loading, version, dealt, start, leaving);
    }
}
