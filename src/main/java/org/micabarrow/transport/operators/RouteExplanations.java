package org.micabarrow.transport.operators;

import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.micabarrow.coordination.requests.RequestFlow;
import org.micabarrow.coordination.routing.Exclusion;
import org.micabarrow.coordination.routing.Router;
import org.micabarrow.protocol.OperatorMessages;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.FoldedState.Placed;
import org.micabarrow.state.Organisation;
import org.micabarrow.state.Result;

/** Tells why the router would choose or leave out each replica for a request. */
final class RouteExplanations {

    private final OperatorApi.Parts parts;
    private final InstantSource clock;

    RouteExplanations(OperatorApi.Parts parts, InstantSource clock) {
        this.parts = parts;
        this.clock = clock;
    }

    /**
     * Tells for a request why each replica may or may not take it.
     *
     * @param organisationName who would ask
     * @param workload the model or service
     * @param model whether it is a model
     * @return what speaks for or against each replica
     */
    Result<OperatorMessages.Explained> explain(String organisationName, String workload, boolean model) {
        FoldedState state = parts.configuration().current();
        Organisation organisation = state.organisations().get(organisationName);
        if (organisation == null) {
            return Result.failure(Fault.of(
                    Step.ROUTE,
                    parts.entry(),
                    Reason.NOT_FOUND,
                    "unknown organisation \"" + organisationName + "\"; known: "
                            + String.join(", ", state.organisations().keySet())));
        }
        Optional<Placed> placed = RequestFlow.placementFor(state, organisationName, workload, model);
        return Result.success(placed.map(one -> explained(organisationName, workload, one))
                .orElseGet(() -> new OperatorMessages.Explained(
                        organisationName,
                        workload,
                        "",
                        "no placement has " + workload + " for " + organisationName,
                        List.of())));
    }

    private OperatorMessages.Explained explained(String organisation, String workload, Placed placed) {
        Router.Wish wish = new Router.Wish(List.of(), true, Set.of(), clock.millis());
        Router.Decision decision = parts.router().route(placed, parts.table().peers(), wish);
        Map<String, Exclusion.Reason> excluded = new HashMap<>();
        decision.exclusions().forEach(one -> excluded.put(one.replica().instance(), one.reason()));
        List<OperatorMessages.Candidate> candidates = placed.replicas().stream()
                .map(replica -> new OperatorMessages.Candidate(
                        replica.instance(),
                        replica.hall(),
                        !excluded.containsKey(replica.instance()),
                        Optional.ofNullable(excluded.get(replica.instance()))
                                .map(Enum::name)
                                .orElse("")))
                .toList();
        String verdict = decision.chosen()
                .map(replica -> "a request now would go to " + replica.instance())
                .orElse("no replica may take a request now");
        return new OperatorMessages.Explained(
                organisation, workload, placed.placement().name(), verdict, candidates);
    }
}
