package org.micabarrow.transport;

import java.util.Objects;
import java.util.Optional;
import org.micabarrow.admission.SlotGrants;
import org.micabarrow.limits.EntryRank;
import org.micabarrow.limits.RateLimitUpdate;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.views.EraOffset;

/**
 * An agent's reply.
 *
 * @param number the number of the entry's query; for an unsolicited reply, that of the last query
 * @param report the endpoint's load
 * @param reader the entry that reads the store for the region; empty for that entry, for entries of other regions,
 *     and if there is none
 * @param timestampMillis the time on the agent's monotonic clock, which the entry's next query repeats
 * @param rank the entry's rank among those that query the agent; empty until the agent has listened for long enough
 *     to know it
 * @param rateLimit what is known of the endpoint's rate limit; empty if nothing was received recently
 * @param extension the appended fields; empty from an agent of a build that does not read any
 */
record LoadReply(
        int number,
        LoadReport report,
        Optional<ReaderUpdate> reader,
        long timestampMillis,
        Optional<EntryRank> rank,
        Optional<RateLimitUpdate> rateLimit,
        Optional<ReplyExtension> extension) {

    /** Creates a reply without appended fields. */
    LoadReply(
            int number,
            LoadReport report,
            Optional<ReaderUpdate> reader,
            long timestampMillis,
            Optional<EntryRank> rank,
            Optional<RateLimitUpdate> rateLimit) {
        this(number, report, reader, timestampMillis, rank, rateLimit, Optional.of(ReplyExtension.withoutGrants()));
    }

    /** Creates a reply of an agent that knows neither ranks nor rate limits. */
    LoadReply(int number, LoadReport report, Optional<ReaderUpdate> reader, long timestampMillis) {
        this(number, report, reader, timestampMillis, Optional.empty(), Optional.empty());
    }

    /**
     * Returns this reply without appended fields, for an entry of a build that does not read any. It names no reader
     * whose offset would need its era.
     */
    LoadReply withoutAppendedFields() {
        Optional<ReaderUpdate> firstEraReader = reader.filter(update -> EraOffset.era(update.operatorOffset()) == 0);
        return new LoadReply(
                number, report.withCondition(Optional.empty()), firstEraReader, timestampMillis, rank, rateLimit);
    }

    /** Creates a reply that names no reader. */
    LoadReply(int number, LoadReport report) {
        this(number, report, Optional.empty(), 0);
    }

    /**
     * What an agent reports to an entry of its region about the entry that reads the store for that region.
     *
     * @param peer the host and port at which that entry serves records
     * @param operatorOffset the offset after the last operator change that it knows of
     * @param knownMillisAgo how long ago it knew everything that operators had written, in milliseconds
     */
    record ReaderUpdate(String peer, long operatorOffset, long knownMillisAgo) {

        /** Checks that no component is null. */
        ReaderUpdate {
            Objects.requireNonNull(peer, "peer is null");
        }
    }

    /**
     * The appended fields of a reply.
     *
     * @param grants the slots granted to each class of the entry's requests; empty if the agent does not divide them by
     *     class
     */
    record ReplyExtension(Optional<SlotGrants> grants) {

        /** Checks that no component is null. */
        ReplyExtension {
            Objects.requireNonNull(grants, "grants is null");
        }

        /** Creates an extension of an agent that does not divide slots by class. */
        static ReplyExtension withoutGrants() {
            return new ReplyExtension(Optional.empty());
        }
    }
}
