package org.micabarrow.transport.operators;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.micabarrow.coordination.configuration.Configuration;
import org.micabarrow.coordination.configuration.RecordWriter;
import org.micabarrow.coordination.membership.InstanceList;
import org.micabarrow.coordination.membership.PeerTable;
import org.micabarrow.coordination.routing.Router;
import org.micabarrow.coordination.weights.Weights;
import org.micabarrow.protocol.OperatorMessages;
import org.micabarrow.state.Links;
import org.micabarrow.state.Result;
import org.micabarrow.transport.grpc.PeerClient;

/** The operations that an entry offers to operators: plans, confirmations, replica status and explanations of routing. */
public final class OperatorApi {

    /** How long a confirmation waits for the accepted configuration to become active on every instance. */
    public static final Duration ACTIVATION_TIMEOUT = Duration.ofSeconds(9);

    /** The timeout of writing an operator's record to the log. */
    static final Duration WRITE_TIMEOUT = Duration.ofSeconds(9);

    private final PlanProposer planProposer;
    private final PlanConfirmer planConfirmer;
    private final ReplicaStatusCollector statusCollector;
    private final RouteExplainer routeExplainer;

    /**
     * Creates the API.
     *
     * @param dependencies the components that it uses
     * @param recordIds generates record ids
     * @param clock the time source
     */
    public OperatorApi(Dependencies dependencies, Supplier<String> recordIds, InstantSource clock) {
        Objects.requireNonNull(dependencies, "dependencies is null");
        Objects.requireNonNull(recordIds, "recordIds is null");
        Objects.requireNonNull(clock, "clock is null");
        this.planProposer = new PlanProposer(dependencies, recordIds);
        this.planConfirmer = new PlanConfirmer(dependencies, recordIds, clock);
        this.statusCollector = new ReplicaStatusCollector(dependencies);
        this.routeExplainer = new RouteExplainer(dependencies, clock);
    }

    /**
     * The components that the API uses.
     *
     * @param entry the id of this entry
     * @param links the bandwidth of the links
     * @param configuration the configuration of this process
     * @param writer writes records to the log
     * @param instanceList the platform's list of instances
     * @param agentTable the known agents and their state
     * @param weights reads manifests
     * @param peers calls other processes
     * @param router makes the routing decisions to explain
     * @param waitingRequests supplies the number of requests that wait for a free slot
     */
    public record Dependencies(
            String entry,
            Links links,
            Configuration configuration,
            RecordWriter writer,
            InstanceList instanceList,
            PeerTable agentTable,
            Weights weights,
            PeerClient peers,
            Router router,
            IntSupplier waitingRequests) {}

    /**
     * Computes the plan for an intent and proposes it on the log, where any entry can confirm it.
     *
     * @param file the file name of the intent, for error messages
     * @param bytes the content of the intent
     * @return the plan, or a failure if there is none
     */
    public Result<OperatorMessages.PlanResponse> plan(String file, byte[] bytes) {
        return planProposer.plan(file, bytes);
    }

    /**
     * Confirms a plan and waits until it is active on every instance, or until a timeout.
     *
     * @param planId the id of the plan
     * @param operator the name of the operator who confirms it
     * @return where the plan is active, or why it was not accepted
     */
    public Result<OperatorMessages.ConfirmResponse> confirm(String planId, String operator) {
        return planConfirmer.confirm(planId, operator);
    }

    /**
     * Queries the state of every replica.
     *
     * @return the state of this entry and of all replicas
     */
    public OperatorMessages.Status status() {
        return statusCollector.status();
    }

    /**
     * Explains for each replica why it is or is not eligible for a request.
     *
     * @param organisationName the organisation that would send the request
     * @param workload the name of the model or service
     * @param model whether the workload is a model
     * @return the eligibility of each replica, or a failure if the organisation is unknown
     */
    public Result<OperatorMessages.ExplainResponse> explain(String organisationName, String workload, boolean model) {
        return routeExplainer.explain(organisationName, workload, model);
    }
}
