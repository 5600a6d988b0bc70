package org.micabarrow.transport;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.micabarrow.admission.SlotGrants;
import org.micabarrow.routing.EndpointLoad;
import org.micabarrow.routing.EndpointStart;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Applies the replies of agents to what an entry knows of endpoints. Used by the traffic thread only. */
final class LoadReplyHandler {

    private static final Logger LOG = LoggerFactory.getLogger(LoadPoller.class);

    private final LoadPoller.Dependencies dependencies;
    private final LoadQueries queries;

    /**
     * Creates a handler.
     *
     * @param dependencies what its poller needs
     * @param queries the queries that are replied to
     */
    LoadReplyHandler(LoadPoller.Dependencies dependencies, LoadQueries queries) {
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies is null");
        this.queries = Objects.requireNonNull(queries, "queries is null");
    }

    /**
     * Applies a reply to the endpoint selector before the callbacks that wait for it run, so that they decide with its
     * content. Has no effect if the query is not known any more.
     *
     * @param endpoints the endpoints at the host of the agent
     * @param reply the reply
     */
    void apply(List<EndpointStart> endpoints, LoadReply reply) {
        OptionalLong sentMillis = queries.sentMillis(reply.number());
        if (sentMillis.isEmpty()) {
            return;
        }
        applyGrants(reply);
        endpoints.forEach(start -> applyReport(start, reply, sentMillis.getAsLong()));
        queries.onReply(reply.number());
        reply.reader().ifPresent(reader -> applyReader(reader, sentMillis.getAsLong()));
    }

    private void applyGrants(LoadReply reply) {
        long now = dependencies.monotonicMillis().getAsLong();
        reply.rank().ifPresent(rank -> dependencies.selector().entryCount().reported(rank.entries(), now));
        grants(reply).ifPresent(dependencies.onGrants());
    }

    private static Optional<SlotGrants> grants(LoadReply reply) {
        return reply.extension().flatMap(LoadReply.ReplyExtension::grants);
    }

    private void applyReport(EndpointStart start, LoadReply reply, long sentMillis) {
        EndpointLoad load = dependencies.selector().load(start);
        if (!start.mayHaveToken(reply.report().start())) {
            handleReportOfAnotherStart(start, load);
            return;
        }
        long now = dependencies.monotonicMillis().getAsLong();
        load.reported(reply.report(), now - sentMillis, now);
        grants(reply).map(SlotGrants::limits).ifPresent(load::slotsDivided);
        reply.rank().ifPresent(load::rankReported);
        reply.rateLimit()
                .filter(rateLimit -> rateLimit.concerns(start.id()))
                .filter(rateLimit -> load.rateLimit().updated(rateLimit.toObservation(sentMillis, now)))
                .ifPresent(rateLimit -> load.rateLimit().logChange("agent"));
    }

    /**
     * The agent is ahead of the endpoint's entry in the store, or behind it, for a moment. A report on one start must
     * not be applied to another, which may hold nothing of the version that the report names.
     */
    private static void handleReportOfAnotherStart(EndpointStart start, EndpointLoad load) {
        if (!load.restarted()) {
            LOG.info(
                    "event=agent_tells_of_another_start endpoint={} listed={}",
                    start.id(),
                    start.startedMillis().orElse(-1));
        }
        load.otherStartReported();
    }

    private void applyReader(LoadReply.ReaderUpdate reader, long sentMillis) {
        // Counted from the time of the query: the information is at most that much older than the agent reports.
        dependencies
                .onReader()
                .accept(new StoreUpdate.ReaderState(
                        reader.peer(), reader.operatorOffset(), sentMillis - reader.knownMillisAgo()));
    }
}
