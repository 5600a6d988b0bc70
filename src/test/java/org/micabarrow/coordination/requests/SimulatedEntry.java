package org.micabarrow.coordination.requests;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.micabarrow.Samples;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.coordination.calls.AgentClient;
import org.micabarrow.coordination.calls.AgentRequest;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.calls.ResponseListener;
import org.micabarrow.coordination.claims.Claim;
import org.micabarrow.coordination.claims.ClaimResult;
import org.micabarrow.coordination.claims.ClaimTable;
import org.micabarrow.coordination.claims.ClaimWriter;
import org.micabarrow.coordination.claims.Ledger;
import org.micabarrow.coordination.membership.PeerView;
import org.micabarrow.coordination.membership.ReplicaView;
import org.micabarrow.coordination.routing.InstanceStats;
import org.micabarrow.coordination.routing.PrefixIndex;
import org.micabarrow.coordination.routing.Router;
import org.micabarrow.state.Replica;
import org.micabarrow.state.Result;

/** An entry with the real request flow. */
final class SimulatedEntry implements AgentClient, ClaimWriter {

    private final RequestSimulation simulation;
    private final ClaimTable claims = new ClaimTable(3_600_000);
    private final Map<String, CompletableFuture<ClaimResult>> waiting = new HashMap<>();
    private final RequestFlow flow;
    private int nextOffset;
    boolean paused;

    SimulatedEntry(RequestSimulation simulation) {
        this.simulation = simulation;
        InstanceStats stats = new InstanceStats();
        PrefixIndex prefixes = new PrefixIndex(10);
        RandomGenerator generator = new Random(1);
        flow = new RequestFlow(
                () -> simulation.state,
                this::peers,
                new RequestFlow.Components(
                        new Router("norte", "norte-a", stats, prefixes, generator),
                        stats,
                        prefixes,
                        this,
                        key -> this,
                        new RetryBudget(1, 1000),
                        () -> "attempt-" + simulation.attempts++,
                        simulation.clock,
                        Duration.ofSeconds(1)));
    }

    private Map<String, PeerView> peers() {
        Map<String, PeerView> peers = new HashMap<>();
        simulation.agents.forEach(agent -> peers.put(
                agent.name,
                new PeerView(
                        agent.name,
                        agent.epoch(),
                        simulation.state.offset(),
                        "",
                        true,
                        false,
                        Map.of(
                                "billing",
                                new ReplicaView(
                                        "billing",
                                        "",
                                        ReplicaView.State.READY,
                                        0,
                                        0,
                                        Optional.of(""),
                                        Optional.empty())),
                        new PeerView.Load(0, 0, 100, simulation.clock.millis()))));
        return peers;
    }

    void send(String key) {
        RecordedRequest request = new RecordedRequest(key);
        simulation.sent.add(request);
        flow.begin(
                new CallerRequest(
                        "r" + simulation.sent.size(),
                        Samples.RIDERS,
                        "billing",
                        false,
                        "POST",
                        "/charges",
                        "text/plain",
                        key.getBytes(StandardCharsets.UTF_8),
                        false,
                        false,
                        Optional.of(key),
                        simulation.clock.millis() + 5_000,
                        0,
                        List.of()),
                request);
    }

    /** Runs work now, or puts it back as a message while the entry is paused. */
    void whenRunning(Runnable work) {
        if (paused) {
            simulation.messages.add(new RequestSimulation.Message(() -> whenRunning(work), () -> whenRunning(work)));
        } else {
            work.run();
        }
    }

    // -- claims

    @Override
    public CompletableFuture<ClaimResult> claim(Claim claim, Duration within) {
        CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        waiting.put(claim.attempt(), result);
        Runnable timeOut =
                () -> whenRunning(() -> result.complete(new ClaimResult.Failed(RequestSimulation.fault("log"))));
        simulation.messages.add(new RequestSimulation.Message(
                () -> {
                    if (simulation.logDown) {
                        timeOut.run();
                    } else {
                        simulation.log.add(claim);
                        simulation.messages.add(
                                new RequestSimulation.Message(() -> whenRunning(this::applyNewClaims), timeOut));
                    }
                },
                () -> {
                    simulation.log.add(claim);
                    simulation.messages.add(
                            new RequestSimulation.Message(() -> whenRunning(this::applyNewClaims), timeOut));
                    simulation.log.add(claim);
                }));
        return result;
    }

    private void applyNewClaims() {
        while (nextOffset < simulation.log.size()) {
            Claim claim = simulation.log.get(nextOffset++);
            boolean holds = claims.apply(nextOffset, claim);
            ClaimResult result = holds
                    ? new ClaimResult.Won()
                    : new ClaimResult.Held(claims.holder(claim.key()).orElseThrow(), 10_000);
            Optional.ofNullable(waiting.remove(claim.attempt())).ifPresent(future -> future.complete(result));
        }
    }

    // -- calls

    @Override
    public Runnable handle(Replica to, AgentRequest request, ResponseListener listener) {
        SimulatedAgent agent = agent(to);
        simulation.messages.add(new RequestSimulation.Message(() -> agent.handle(request, listener, this), () -> {
            whenRunning(
                    () -> listener.onEnd(Outcome.unknown(RequestSimulation.fault("the request was lost, or is late"))));
            simulation.messages.add(new RequestSimulation.Message(
                    () -> agent.handle(request, new RecordedRequest("late"), this), () -> {}));
        }));
        return () -> {};
    }

    private SimulatedAgent agent(Replica to) {
        return simulation.agents.stream()
                .filter(agent -> agent.name.equals(to.instance()))
                .findFirst()
                .orElseThrow();
    }

    @Override
    public CompletableFuture<Result<Optional<Ledger.Settlement>>> settle(Replica to, Claim claim) {
        CompletableFuture<Result<Optional<Ledger.Settlement>>> result = new CompletableFuture<>();
        Runnable lost =
                () -> whenRunning(() -> result.complete(Result.failure(RequestSimulation.fault("no response"))));
        simulation.messages.add(new RequestSimulation.Message(
                () -> {
                    SimulatedAgent agent = agent(to);
                    Optional<Ledger.Settlement> settled = claim.epoch().equals(agent.epoch())
                            ? Optional.of(agent.ledger.settle(
                                    claim.key(), claim.latestStartMillis(), simulation.clock.millis()))
                            : Optional.empty();
                    simulation.messages.add(new RequestSimulation.Message(
                            () -> whenRunning(() -> result.complete(Result.success(settled))), lost));
                },
                lost));
        return result;
    }
}
