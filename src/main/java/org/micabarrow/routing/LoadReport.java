package org.micabarrow.routing;

import java.util.OptionalInt;

/**
 * What an endpoint's agent told.
 *
 * @param requests the requests at the endpoint, those in its queue too
 * @param othersPromptTokens prompt tokens that other entries have waiting there
 * @param loading whether the endpoint is taking up weights
 * @param version the weight version it holds; 0 for none
 * @param places how many of the endpoint's free places are this entry's, until it is told again
 * @param start names the endpoint's start, see {@link EndpointStart#token}
 * @param leaving whether the endpoint says that it leaves
 */
public record LoadReport(
        int requests,
        int othersPromptTokens,
        boolean loading,
        long version,
        int places,
        OptionalInt start,
        boolean leaving) {

    /** What {@link #places} is where an agent deals none out: all that are free may be taken. */
    public static final int ANY_PLACES = Integer.MAX_VALUE;

    /**
     * What an agent tells of an endpoint that stays.
     *
     * @param requests the requests at the endpoint, those in its queue too
     * @param othersPromptTokens prompt tokens that other entries have waiting there
     * @param loading whether the endpoint is taking up weights
     * @param version the weight version it holds; 0 for none
     * @param places how many of the endpoint's free places are this entry's, until it is told again
     * @param start names the endpoint's start, see {@link EndpointStart#token}
     */
    public LoadReport(
            int requests, int othersPromptTokens, boolean loading, long version, int places, OptionalInt start) {
        this(requests, othersPromptTokens, loading, version, places, start, false);
    }

    /**
     * What an agent tells that deals no places out.
     *
     * @param requests the requests at the endpoint, those in its queue too
     * @param othersPromptTokens prompt tokens that other entries have waiting there
     * @param loading whether the endpoint is taking up weights
     * @param version the weight version it holds; 0 for none
     */
    public LoadReport(int requests, int othersPromptTokens, boolean loading, long version) {
        this(requests, othersPromptTokens, loading, version, ANY_PLACES);
    }

    /**
     * What the agent of an endpoint tells that does not tell when it was started.
     *
     * @param requests the requests at the endpoint, those in its queue too
     * @param othersPromptTokens prompt tokens that other entries have waiting there
     * @param loading whether the endpoint is taking up weights
     * @param version the weight version it holds; 0 for none
     * @param places how many of the endpoint's free places are this entry's, until it is told again
     */
    public LoadReport(int requests, int othersPromptTokens, boolean loading, long version, int places) {
        this(requests, othersPromptTokens, loading, version, places, OptionalInt.empty());
    }

    /**
     * The same, told to one entry.
     *
     * @param others prompt tokens that other entries have waiting there
     * @param dealt how many of the free places are the entry's
     * @return what the entry is told
     */
    public LoadReport to(int others, int dealt) {
        return new LoadReport(requests, others, loading, version, dealt, start, leaving);
    }
}
