package org.micabarrow.transport;

import java.util.Optional;
import java.util.OptionalLong;
import org.micabarrow.admission.EntryDemand;
import org.micabarrow.limits.RateLimitUpdate;

/**
 * An entry's query, which also reports the entry's own requests at the endpoint.
 *
 * @param entry the entry's name
 * @param promptTokens the prompt tokens of its requests whose responses have not begun
 * @param number distinguishes it from the entry's other queries
 * @param unmetRequests the requests for models that the entry rejected for lack of free slots in about the last
 *     second
 * @param sameRegion whether the agent is in the entry's region
 * @param storeUpdate what the entry knows of the store; empty for agents of other regions, and while the entry has
 *     no contact with the store
 * @param replyTimestamp the timestamp of the last reply that the entry received from the agent; the query was sent
 *     after it
 * @param rateLimit what the entry knows of the rate limit of the endpoint next to the agent; empty if it received
 *     nothing recently
 * @param demand the demand of the entry's clients; empty until the agent is known to read appended fields
 */
record LoadQuery(
        String entry,
        int promptTokens,
        int number,
        int unmetRequests,
        boolean sameRegion,
        Optional<StoreUpdate> storeUpdate,
        OptionalLong replyTimestamp,
        Optional<RateLimitUpdate> rateLimit,
        Optional<EntryDemand> demand) {

    /** Creates a query without appended fields. */
    LoadQuery(
            String entry,
            int promptTokens,
            int number,
            int unmetRequests,
            boolean sameRegion,
            Optional<StoreUpdate> storeUpdate,
            OptionalLong replyTimestamp,
            Optional<RateLimitUpdate> rateLimit) {
        this(
                entry,
                promptTokens,
                number,
                unmetRequests,
                sameRegion,
                storeUpdate,
                replyTimestamp,
                rateLimit,
                Optional.empty());
    }

    /** Creates a query of an entry that knows of no rate limit. */
    LoadQuery(
            String entry,
            int promptTokens,
            int number,
            int unmetRequests,
            boolean sameRegion,
            Optional<StoreUpdate> storeUpdate,
            OptionalLong replyTimestamp) {
        this(entry, promptTokens, number, unmetRequests, sameRegion, storeUpdate, replyTimestamp, Optional.empty());
    }

    /** Creates a query of an entry that has received no reply yet. */
    LoadQuery(
            String entry,
            int promptTokens,
            int number,
            int unmetRequests,
            boolean sameRegion,
            Optional<StoreUpdate> storeUpdate) {
        this(entry, promptTokens, number, unmetRequests, sameRegion, storeUpdate, OptionalLong.empty());
    }

    /** Creates a query to an agent of another region, which gets no store update. */
    LoadQuery(String entry, int promptTokens, int number, int unmetRequests) {
        this(entry, promptTokens, number, unmetRequests, false, Optional.empty());
    }
}
