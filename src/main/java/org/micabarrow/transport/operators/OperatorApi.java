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

/** What operators ask of an entry: plans, confirmations, the state of things, and why a request goes where it goes. */
public final class OperatorApi {

    /** How soon an accepted configuration must be in force everywhere. */
    public static final Duration IN_FORCE_WITHIN = Duration.ofSeconds(9);

    /** How long the log may take for an operator's record. */
    static final Duration WRITE_WITHIN = Duration.ofSeconds(9);

    private final PlanProposals proposals;
    private final PlanConfirmations confirmations;
    private final ReplicaStatuses statuses;
    private final RouteExplanations explanations;

    /**
     * Makes the API.
     *
     * @param parts what it works with
     * @param ids gives ids to records
     * @param clock tells the time
     */
    public OperatorApi(Parts parts, Supplier<String> ids, InstantSource clock) {
        Objects.requireNonNull(parts, "parts is null");
        Objects.requireNonNull(ids, "ids is null");
        Objects.requireNonNull(clock, "clock is null");
        this.proposals = new PlanProposals(parts, ids);
        this.confirmations = new PlanConfirmations(parts, ids, clock);
        this.statuses = new ReplicaStatuses(parts);
        this.explanations = new RouteExplanations(parts, clock);
    }

    /**
     * What the API works with.
     *
     * @param entry this entry's name
     * @param links what the links carry
     * @param configuration the configuration in force here
     * @param writer writes records
     * @param list the platform's list of instances
     * @param table what is known of the agents
     * @param weights reads manifests
     * @param peers asks other processes
     * @param router explains its decisions
     * @param waiting how many requests wait for room
     */
    public record Parts(
            String entry,
            Links links,
            Configuration configuration,
            RecordWriter writer,
            InstanceList list,
            PeerTable table,
            Weights weights,
            PeerClient peers,
            Router router,
            IntSupplier waiting) {}

    /**
     * Works out the plan for an intent and proposes it on the log, where any entry can confirm it.
     *
     * @param file the intent's file name, for errors
     * @param bytes the intent
     * @return the plan
     */
    public Result<OperatorMessages.Planned> plan(String file, byte[] bytes) {
        return proposals.plan(file, bytes);
    }

    /**
     * Confirms a plan and waits until it is in force.
     *
     * @param planId the plan
     * @param operator who confirms it
     * @return what became of it
     */
    public Result<OperatorMessages.Confirmed> confirm(String planId, String operator) {
        return confirmations.confirm(planId, operator);
    }

    /**
     * Asks every replica for its state.
     *
     * @return the state of things
     */
    public OperatorMessages.Status status() {
        return statuses.status();
    }

    /**
     * Tells for a request why each replica may or may not take it.
     *
     * @param organisationName who would ask
     * @param workload the model or service
     * @param model whether it is a model
     * @return what speaks for or against each replica
     */
    public Result<OperatorMessages.Explained> explain(String organisationName, String workload, boolean model) {
        return explanations.explain(organisationName, workload, model);
    }
}
