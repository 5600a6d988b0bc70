package org.micabarrow.transport.operators;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.micabarrow.coordination.configuration.Configuration;
import org.micabarrow.coordination.configuration.RecordWriter;
import org.micabarrow.coordination.membership.InstanceList;
import org.micabarrow.coordination.membership.PeerTable;
import org.micabarrow.coordination.membership.ReplicaView;
import org.micabarrow.coordination.requests.RequestFlow;
import org.micabarrow.coordination.routing.Exclusion;
import org.micabarrow.coordination.routing.Router;
import org.micabarrow.coordination.weights.Weights;
import org.micabarrow.protocol.OperatorMessages;
import org.micabarrow.protocol.StatusMessages;
import org.micabarrow.protocol.wire.StatusReply;
import org.micabarrow.settings.IntentReader;
import org.micabarrow.state.Artifact;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.FoldedState.Placed;
import org.micabarrow.state.Instance;
import org.micabarrow.state.Intent;
import org.micabarrow.state.Links;
import org.micabarrow.state.Manifest;
import org.micabarrow.state.Organisation;
import org.micabarrow.state.Plan;
import org.micabarrow.state.Planner;
import org.micabarrow.state.Record;
import org.micabarrow.state.Replica;
import org.micabarrow.state.Result;
import org.micabarrow.state.Verdict;
import org.micabarrow.transport.grpc.PeerClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What operators ask of an entry: plans, confirmations, the state of things, and why a request goes where it goes. */
public final class OperatorDesk {

    /** How soon an accepted configuration must be in force everywhere. */
    public static final Duration IN_FORCE_WITHIN = Duration.ofSeconds(9);

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.decision.plan");
    private static final Duration WRITE_WITHIN = Duration.ofSeconds(9);
    private static final long ASK_AGAIN_MILLIS = 50;

    private final Parts parts;
    private final Supplier<String> ids;
    private final InstantSource clock;

    /**
     * Makes a desk.
     *
     * @param parts what it works with
     * @param ids gives ids to records
     * @param clock tells the time
     */
    public OperatorDesk(Parts parts, Supplier<String> ids, InstantSource clock) {
        this.parts = Objects.requireNonNull(parts, "parts is null");
        this.ids = Objects.requireNonNull(ids, "ids is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
    }

    /**
     * What a desk works with.
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

    // -- plan

    /**
     * Works out the plan for an intent and proposes it on the log, where any entry can confirm it.
     *
     * @param file the intent's file name, for errors
     * @param bytes the intent
     * @return the plan
     */
    public Result<OperatorMessages.Planned> plan(String file, byte[] bytes) {
        return IntentReader.read(file, bytes)
                .flatMap(intent -> parts.list()
                        .read()
                        .flatMap(instances -> artifacts(intent)
                                .flatMap(artifacts -> new Planner(
                                                parts.links(),
                                                parts.configuration().current(),
                                                instances,
                                                artifacts)
                                        .plan(intent))
                                .flatMap(this::propose)));
    }

    private Result<Map<String, Artifact>> artifacts(Intent intent) {
        Map<String, Artifact> artifacts = new HashMap<>();
        for (String digest : intent.artifactDigests()) {
            Result<Manifest> manifest = parts.weights().manifest(digest);
            if (manifest instanceof Result.Failure<Manifest>(Fault fault)) {
                if (fault.reason() != Reason.NOT_FOUND) {
                    return Result.failure(fault);
                }
            }
            manifest.toOptional().ifPresent(found -> artifacts.put(digest, found.artifact()));
        }
        return Result.success(artifacts);
    }

    private Result<OperatorMessages.Planned> propose(Plan plan) {
        LOG.info(
                "plan id={} basis={} placements={}",
                plan.id(),
                plan.basis(),
                plan.placements().size());
        return parts.writer()
                .write(new Record.PlanProposed(ids.get(), plan), WRITE_WITHIN)
                .map(seen -> new OperatorMessages.Planned(plan.id(), plan));
    }

    // -- confirm

    /**
     * Confirms a plan and waits until it is in force.
     *
     * @param planId the plan
     * @param operator who confirms it
     * @return what became of it
     */
    public Result<OperatorMessages.Confirmed> confirm(String planId, String operator) {
        long basis = parts.configuration().generation();
        Record record = new Record.PlanConfirmed(ids.get(), basis, planId, operator);
        return parts.writer().write(record, WRITE_WITHIN).flatMap(seen -> {
            LOG.info(
                    "confirm plan={} operator={} offset={} verdict={}",
                    planId,
                    operator,
                    seen.offset(),
                    seen.verdict());
            return confirmed(planId, seen);
        });
    }

    private Result<OperatorMessages.Confirmed> confirmed(String planId, FoldedState.Seen seen) {
        return switch (seen.verdict()) {
            case Verdict.Accepted ignored -> Result.success(awaitInForce(planId, seen.offset()));
            case Verdict.Duplicate ignored -> Result.success(awaitInForce(planId, seen.offset()));
            case Verdict.Superseded(String key, long at) ->
                conflict(planId, "superseded: " + key + " was changed at offset " + at + "; make a new plan");
            case Verdict.Refused(String reason) -> conflict(planId, reason);
        };
    }

    private static <T> Result<T> conflict(String planId, String why) {
        return Result.failure(Fault.of(Step.CONFIRM, "plan " + planId, Reason.CONFLICT, why));
    }

    private OperatorMessages.Confirmed awaitInForce(String planId, long offset) {
        List<Instance> instances = parts.table().instances();
        Map<String, String> missing = new TreeMap<>();
        instances.forEach(instance -> missing.put(instance.id(), instance.address()));
        long end = clock.millis() + IN_FORCE_WITHIN.toMillis();
        while (!missing.isEmpty() && clock.millis() < end) {
            missing.keySet().removeAll(reached(missing, offset));
            pause(missing.isEmpty());
        }
        return new OperatorMessages.Confirmed(
                planId,
                true,
                offset,
                "",
                instances.size() - missing.size(),
                instances.size(),
                List.copyOf(missing.keySet()));
    }

    private Set<String> reached(Map<String, String> asked, long offset) {
        Map<String, CompletableFuture<Result<StatusReply>>> replies = new HashMap<>();
        asked.forEach((id, address) -> replies.put(
                id, parts.peers().status(address, parts.configuration().generation())));
        Map<String, Boolean> reached = new HashMap<>();
        replies.forEach((id, reply) -> {
            boolean there = reply.join()
                    .toOptional()
                    .filter(status -> status.getGeneration() >= offset)
                    .isPresent();
            if (there) {
                reached.put(id, true);
            }
        });
        return reached.keySet();
    }

    private static void pause(boolean done) {
        if (done) {
            return;
        }
        try {
            Thread.sleep(ASK_AGAIN_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // -- status

    /**
     * Asks every replica for its state.
     *
     * @return the state of things
     */
    public OperatorMessages.Status status() {
        FoldedState state = parts.configuration().current();
        Map<Replica, CompletableFuture<Result<StatusReply>>> asked = new HashMap<>();
        state.placements().values().stream()
                .flatMap(placed -> placed.replicas().stream())
                .distinct()
                .forEach(replica -> asked.put(replica, parts.peers().status(replica.address(), state.offset())));
        List<OperatorMessages.Replica> replicas = new ArrayList<>();
        state.placements()
                .values()
                .forEach(placed -> placed.replicas().stream()
                        .sorted(Comparator.comparing(Replica::instance))
                        .forEach(replica -> replicas.add(
                                line(placed, replica, asked.get(replica).join()))));
        Configuration.View view = parts.configuration().view();
        return new OperatorMessages.Status(
                parts.entry(),
                state.offset(),
                state.digest(),
                view.stopped().map(Fault::toString).orElse(""),
                parts.configuration().silentMillis(),
                parts.waiting().getAsInt(),
                replicas);
    }

    private static OperatorMessages.Replica line(Placed placed, Replica replica, Result<StatusReply> reply) {
        Optional<ReplicaView> view = reply.toOptional()
                .flatMap(status -> status.getReplicasList().stream()
                        .filter(one ->
                                one.getPlacement().equals(placed.placement().name()))
                        .map(one -> StatusMessages.fromWire(replica.instance(), one))
                        .findFirst());
        String fault = reply.cause()
                .map(Fault::toString)
                .or(() -> view.flatMap(ReplicaView::fault).map(Fault::message))
                .orElse("");
        return new OperatorMessages.Replica(
                placed.placement().name(),
                replica.instance(),
                replica.region(),
                replica.hall(),
                placed.placement().workload().version(),
                view.map(one -> one.state().name().toLowerCase(Locale.ROOT)).orElse("unreachable"),
                view.map(ReplicaView::chunks).orElse(0),
                view.map(ReplicaView::total).orElse(0),
                view.flatMap(ReplicaView::serving).orElse(""),
                reply.toOptional().map(StatusReply::getGeneration).orElse(-1L),
                fault);
    }

    // -- explain

    /**
     * Tells for a request why each replica may or may not take it.
     *
     * @param organisationName who would ask
     * @param workload the model or service
     * @param model whether it is a model
     * @return what speaks for or against each replica
     */
    public Result<OperatorMessages.Explained> explain(String organisationName, String workload, boolean model) {
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
