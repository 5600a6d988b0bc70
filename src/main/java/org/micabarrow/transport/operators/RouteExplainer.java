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
import org.micabarrow.state.FoldedState.ActivePlacement;
import org.micabarrow.state.Organisation;
import org.micabarrow.state.Result;

/** Explains for each replica whether the router would choose or exclude it for a request, and why. */
final class RouteExplainer {

    private final OperatorApi.Dependencies dependencies;
    private final InstantSource clock;

    RouteExplainer(OperatorApi.Dependencies dependencies, InstantSource clock) {
        this.dependencies = dependencies;
        this.clock = clock;
    }

    /**
     * Explains for each replica why it is or is not eligible for a request.
     *
     * @param organisationName the organisation that would send the request
     * @param workload the name of the model or service
     * @param model whether the workload is a model
     * @return the eligibility of each replica, or a failure if the organisation is unknown
     */
    Result<OperatorMessages.ExplainResponse> explain(String organisationName, String workload, boolean model) {
        FoldedState state = dependencies.configuration().current();
        Organisation organisation = state.organisations().get(organisationName);
        if (organisation == null) {
            return Result.failure(Fault.of(
                    Step.ROUTE,
                    dependencies.entry(),
                    Reason.NOT_FOUND,
                    "unknown organisation \"" + organisationName + "\"; known: "
                            + String.join(", ", state.organisations().keySet())));
        }
        Optional<ActivePlacement> placed = RequestFlow.placementFor(state, organisationName, workload, model);
        return Result.success(placed.map(found -> explanationOf(organisationName, workload, found))
                .orElseGet(() -> new OperatorMessages.ExplainResponse(
                        organisationName,
                        workload,
                        "",
                        "no placement has " + workload + " for " + organisationName,
                        List.of())));
    }

    private OperatorMessages.ExplainResponse explanationOf(
            String organisation, String workload, ActivePlacement placed) {
        Router.Criteria preferences = new Router.Criteria(List.of(), true, Set.of(), clock.millis());
        Router.Decision decision =
                dependencies.router().route(placed, dependencies.agentTable().peers(), preferences);
        Map<String, Exclusion.Reason> reasons = new HashMap<>();
        decision.exclusions()
                .forEach(exclusion -> reasons.put(exclusion.replica().instance(), exclusion.reason()));
        List<OperatorMessages.Candidate> candidates = placed.replicas().stream()
                .map(replica -> new OperatorMessages.Candidate(
                        replica.instance(),
                        replica.hall(),
                        !reasons.containsKey(replica.instance()),
                        Optional.ofNullable(reasons.get(replica.instance()))
                                .map(Enum::name)
                                .orElse("")))
                .toList();
        String verdict = decision.chosen()
                .map(replica -> "a request now would go to " + replica.instance())
                .orElse("no replica may take a request now");
        return new OperatorMessages.ExplainResponse(
                organisation, workload, placed.placement().name(), verdict, candidates);
    }
}
