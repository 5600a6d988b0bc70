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
import org.micabarrow.coordination.calls.AgentCalls;
import org.micabarrow.coordination.calls.AgentRequest;
import org.micabarrow.coordination.calls.AnswerListener;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.claims.Claim;
import org.micabarrow.coordination.claims.ClaimBook;
import org.micabarrow.coordination.claims.ClaimVerdict;
import org.micabarrow.coordination.claims.ClaimWriter;
import org.micabarrow.coordination.claims.Ledger;
import org.micabarrow.coordination.membership.PeerView;
import org.micabarrow.coordination.membership.ReplicaView;
import org.micabarrow.coordination.routing.PrefixIndex;
import org.micabarrow.coordination.routing.Router;
import org.micabarrow.coordination.routing.Traffic;
import org.micabarrow.state.Replica;
import org.micabarrow.state.Result;

/** An entry with the real flow. */
final class SimulatedEntry implements AgentCalls, ClaimWriter {

    private final RequestWorld world;
    private final ClaimBook book = new ClaimBook(3_600_000);
    private final Map<String, CompletableFuture<ClaimVerdict>> waiting = new HashMap<>();
    private final RequestFlow flow;
    private int folded;
    boolean paused;

    SimulatedEntry(RequestWorld world) {
        this.world = world;
        Traffic traffic = new Traffic();
        PrefixIndex prefixes = new PrefixIndex(10);
        RandomGenerator generator = new Random(1);
        flow = new RequestFlow(
                () -> world.state,
                this::peers,
                new RequestFlow.Parts(
                        new Router("norte", "norte-a", traffic, prefixes, generator),
                        traffic,
                        prefixes,
                        this,
                        key -> this,
                        new RetryBudget(1, 1000),
                        () -> "attempt-" + world.attempts++,
                        world.clock,
                        Duration.ofSeconds(1)));
    }

    private Map<String, PeerView> peers() {
        Map<String, PeerView> peers = new HashMap<>();
        world.agents.forEach(agent -> peers.put(
                agent.name,
                new PeerView(
                        agent.name,
                        agent.epoch(),
                        world.state.offset(),
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
                        new PeerView.Load(0, 0, 100, world.clock.millis()))));
        return peers;
    }

    void send(String key) {
        SentRequest one = new SentRequest(key);
        world.sent.add(one);
        flow.begin(
                new CallerRequest(
                        "r" + world.sent.size(),
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
                        world.clock.millis() + 5_000,
                        0,
                        List.of()),
                one);
    }

    /** Whatever reaches a paused entry waits until it wakes. */
    void whenAwake(Runnable work) {
        if (paused) {
            world.messages.add(new RequestWorld.Message(() -> whenAwake(work), () -> whenAwake(work)));
        } else {
            work.run();
        }
    }

    // -- claims

    @Override
    public CompletableFuture<ClaimVerdict> claim(Claim claim, Duration within) {
        CompletableFuture<ClaimVerdict> verdict = new CompletableFuture<>();
        waiting.put(claim.attempt(), verdict);
        Runnable giveUp = () -> whenAwake(() -> verdict.complete(new ClaimVerdict.Failed(RequestWorld.fault("log"))));
        world.messages.add(new RequestWorld.Message(
                () -> {
                    if (world.logDown) {
                        giveUp.run();
                    } else {
                        world.log.add(claim);
                        world.messages.add(new RequestWorld.Message(() -> whenAwake(this::fold), giveUp));
                    }
                },
                () -> {
                    world.log.add(claim);
                    world.messages.add(new RequestWorld.Message(() -> whenAwake(this::fold), giveUp));
                    world.log.add(claim);
                }));
        return verdict;
    }

    private void fold() {
        while (folded < world.log.size()) {
            Claim claim = world.log.get(folded++);
            boolean holds = book.fold(folded, claim);
            ClaimVerdict verdict = holds
                    ? new ClaimVerdict.Won()
                    : new ClaimVerdict.Held(book.holder(claim.key()).orElseThrow(), 10_000);
            Optional.ofNullable(waiting.remove(claim.attempt())).ifPresent(one -> one.complete(verdict));
        }
    }

    // -- calls

    @Override
    public Runnable handle(Replica to, AgentRequest request, AnswerListener listener) {
        SimulatedAgent agent = agent(to);
        world.messages.add(new RequestWorld.Message(() -> agent.handle(request, listener, this), () -> {
            whenAwake(() -> listener.onEnd(Outcome.unknown(RequestWorld.fault("the request was lost, or is late"))));
            world.messages.add(
                    new RequestWorld.Message(() -> agent.handle(request, new SentRequest("late"), this), () -> {}));
        }));
        return () -> {};
    }

    private SimulatedAgent agent(Replica to) {
        return world.agents.stream()
                .filter(one -> one.name.equals(to.instance()))
                .findFirst()
                .orElseThrow();
    }

    @Override
    public CompletableFuture<Result<Optional<Ledger.Settled>>> settle(Replica to, Claim claim) {
        CompletableFuture<Result<Optional<Ledger.Settled>>> result = new CompletableFuture<>();
        Runnable lost = () -> whenAwake(() -> result.complete(Result.failure(RequestWorld.fault("no answer"))));
        world.messages.add(new RequestWorld.Message(
                () -> {
                    SimulatedAgent agent = agent(to);
                    Optional<Ledger.Settled> settled = claim.epoch().equals(agent.epoch())
                            ? Optional.of(
                                    agent.ledger.settle(claim.key(), claim.latestStartMillis(), world.clock.millis()))
                            : Optional.empty();
                    world.messages.add(new RequestWorld.Message(
                            () -> whenAwake(() -> result.complete(Result.success(settled))), lost));
                },
                lost));
        return result;
    }
}
