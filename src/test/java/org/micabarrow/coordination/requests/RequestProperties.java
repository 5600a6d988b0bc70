package org.micabarrow.coordination.requests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.micabarrow.ManualClock;
import org.micabarrow.Samples;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.coordination.calls.AgentCalls;
import org.micabarrow.coordination.calls.AgentRequest;
import org.micabarrow.coordination.calls.AnswerHead;
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
import org.micabarrow.state.Fault;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Replica;
import org.micabarrow.state.Result;

/**
 * Requests that may not be repeated, through two entries and three agents, in any interleaving of lost and late
 * messages, killed agents, paused entries and outages of the log. The oracle counts runs at the endpoints.
 */
class RequestProperties {

    private static final int AGENTS = 3;
    private static final int ENTRIES = 2;
    private static final int KEYS = 3;

    @Provide
    Arbitrary<List<Integer>> steps() {
        return Arbitraries.integers().between(0, 999).list().ofMinSize(5).ofMaxSize(80);
    }

    @Property(tries = 1500, seed = "20261202")
    void shouldRunEachKeyAtMostOnceAndNeverWhenItSaysNotRun(@ForAll("steps") List<Integer> steps) {
        World world = new World(steps.hashCode());
        steps.forEach(world::step);
        world.finish();
        world.check();
    }

    /** A message on its way, with what happens if it arrives and if it does not. */
    private record Message(Runnable arrives, Runnable lost) {}

    /** The processes, the log and the messages between them. */
    private static final class World {

        private final ManualClock clock = new ManualClock();
        private final Random random;
        private final FoldedState state = Samples.billingOn("agent-0", "agent-1", "agent-2");
        private final List<Agent> agents = new ArrayList<>();
        private final List<Entry> entries = new ArrayList<>();
        private final List<Message> messages = new ArrayList<>();
        private final List<Claim> log = new ArrayList<>();
        private final Map<String, Integer> runs = new HashMap<>();
        private final List<Sent> sent = new ArrayList<>();
        private boolean logDown;
        private int attempts;

        World(long seed) {
            random = new Random(seed);
            for (int i = 0; i < AGENTS; i++) {
                agents.add(new Agent("agent-" + i));
            }
            for (int i = 0; i < ENTRIES; i++) {
                entries.add(new Entry());
            }
        }

        /** One step of the fuzzer: mostly messages that arrive, now and then a fault. */
        void step(int choice) {
            int detail = choice / 10;
            switch (choice % 10) {
                case 0, 1 -> entries.get(detail % ENTRIES).send("key-" + detail / ENTRIES % KEYS);
                case 2, 3, 4, 5, 6 -> deliver(detail);
                case 7 -> lose(detail);
                case 8 -> fault(detail);
                default -> clock.advance(detail % 4 == 0 ? 2_000 : 50);
            }
        }

        private void fault(int detail) {
            switch (detail % 3) {
                case 0 -> agents.get(detail / 3 % AGENTS).restart();
                case 1 -> logDown = !logDown;
                default -> entries.get(detail / 3 % ENTRIES).paused ^= true;
            }
        }

        private void deliver(int detail) {
            if (!messages.isEmpty()) {
                messages.remove(detail % messages.size()).arrives().run();
            }
        }

        private void lose(int detail) {
            if (!messages.isEmpty()) {
                messages.remove(detail % messages.size()).lost().run();
            }
        }

        void finish() {
            logDown = false;
            entries.forEach(entry -> entry.paused = false);
            for (int i = 0; i < 2000 && !messages.isEmpty(); i++) {
                deliver(random.nextInt(messages.size()));
            }
            clock.advance(120_000);
            for (int i = 0; i < 2000 && !messages.isEmpty(); i++) {
                deliver(random.nextInt(messages.size()));
            }
        }

        void check() {
            runs.forEach((key, count) -> assertEquals(1, count, key + " ran more than once"));
            Map<String, Boolean> mayHaveRun = new HashMap<>();
            for (Sent one : sent) {
                assertEquals(1, one.ends.size(), "every request has exactly one outcome");
                Outcome end = one.ends.getFirst();
                if (end instanceof Outcome.Answered) {
                    assertEquals(1, runs.getOrDefault(one.key, 0), "answered means that it ran");
                    assertEquals("answer to " + one.key, one.body.toString());
                }
                if (!(end instanceof Outcome.NotRun)) {
                    mayHaveRun.put(one.key, true);
                }
            }
            runs.keySet()
                    .forEach(key -> assertTrue(
                            mayHaveRun.containsKey(key), key + " ran although every caller was told that it had not"));
        }

        /** A request with what its caller saw. */
        private static final class Sent implements AnswerListener {
            private final String key;
            private final StringBuilder body = new StringBuilder();
            private final List<Outcome> ends = new ArrayList<>();

            private Sent(String key) {
                this.key = key;
            }

            @Override
            public void onHead(AnswerHead head) {
                assertEquals(0, body.length());
            }

            @Override
            public void onData(byte[] data, Runnable more) {
                body.append(new String(data, StandardCharsets.UTF_8));
                more.run();
            }

            @Override
            public void onEnd(Outcome outcome) {
                ends.add(outcome);
            }
        }

        /** An agent with the real ledger and an endpoint that counts. */
        private final class Agent {
            private final String name;
            private int process;
            private Ledger ledger;

            private Agent(String name) {
                this.name = name;
                restart();
            }

            private void restart() {
                process++;
                ledger = new Ledger(epoch(), 100, 1000, 60_000);
            }

            private String epoch() {
                return Integer.toString(process);
            }

            private void handle(AgentRequest request, AnswerListener listener, Entry from) {
                Claim claim = request.claim().orElseThrow();
                Ledger current = ledger;
                switch (current.start(claim, clock.millis())) {
                    case Ledger.Start.Run ignored -> run(current, request, claim, listener, from);
                    case Ledger.Start.Refused(String why) ->
                        answer(listener, from, Outcome.notRun(fault(why), Duration.ofMillis(10)));
                    default -> answer(listener, from, Outcome.unknown(fault("run before")));
                }
            }

            private void run(Ledger current, AgentRequest request, Claim claim, AnswerListener listener, Entry from) {
                String key = new String(request.body(), StandardCharsets.UTF_8);
                messages.add(new Message(
                        () -> {
                            runs.merge(key, 1, Integer::sum);
                            byte[] body = ("answer to " + key).getBytes(StandardCharsets.UTF_8);
                            current.ended(claim.key(), Optional.of(new Ledger.Answer(200, "text/plain", body)));
                            messages.add(new Message(
                                    () -> from.whenAwake(() -> give(listener, request.attempt(), body)),
                                    () -> from.whenAwake(() -> listener.onEnd(Outcome.unknown(fault("answer lost"))))));
                        },
                        () -> {
                            runs.merge(key, 1, Integer::sum);
                            current.ended(claim.key(), Optional.empty());
                            from.whenAwake(() -> listener.onEnd(Outcome.unknown(fault("the endpoint died"))));
                        }));
            }

            private void give(AnswerListener listener, String attempt, byte[] body) {
                listener.onHead(new AnswerHead(attempt, 200, "text/plain", "", name, "norte", "norte-a", 0));
                listener.onData(body, () -> listener.onEnd(Outcome.answered()));
            }

            private void answer(AnswerListener listener, Entry from, Outcome outcome) {
                messages.add(new Message(
                        () -> from.whenAwake(() -> listener.onEnd(outcome)),
                        () -> from.whenAwake(() -> listener.onEnd(Outcome.unknown(fault("answer lost"))))));
            }
        }

        private static Fault fault(String why) {
            return Fault.of(Fault.Step.RUN, "agent", Fault.Reason.UNREACHABLE, why);
        }

        /** An entry with the real flow. */
        private final class Entry implements AgentCalls, ClaimWriter {
            private final ClaimBook book = new ClaimBook(3_600_000);
            private final Map<String, CompletableFuture<ClaimVerdict>> waiting = new HashMap<>();
            private final RequestFlow flow;
            private int folded;
            private boolean paused;

            private Entry() {
                Traffic traffic = new Traffic();
                PrefixIndex prefixes = new PrefixIndex(10);
                RandomGenerator generator = new Random(1);
                flow = new RequestFlow(
                        () -> state,
                        this::peers,
                        new RequestFlow.Parts(
                                new Router("norte", "norte-a", traffic, prefixes, generator),
                                traffic,
                                prefixes,
                                this,
                                key -> this,
                                new RetryBudget(1, 1000),
                                () -> "attempt-" + attempts++,
                                clock,
                                Duration.ofSeconds(1)));
            }

            private Map<String, PeerView> peers() {
                Map<String, PeerView> peers = new HashMap<>();
                agents.forEach(agent -> peers.put(
                        agent.name,
                        new PeerView(
                                agent.name,
                                agent.epoch(),
                                state.offset(),
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
                                new PeerView.Load(0, 0, 100, clock.millis()))));
                return peers;
            }

            private void send(String key) {
                Sent one = new Sent(key);
                sent.add(one);
                flow.begin(
                        new CallerRequest(
                                "r" + sent.size(),
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
                                clock.millis() + 5_000,
                                0,
                                List.of()),
                        one);
            }

            /** Whatever reaches a paused entry waits until it wakes. */
            private void whenAwake(Runnable work) {
                if (paused) {
                    messages.add(new Message(() -> whenAwake(work), () -> whenAwake(work)));
                } else {
                    work.run();
                }
            }

            // -- claims

            @Override
            public CompletableFuture<ClaimVerdict> claim(Claim claim, Duration within) {
                CompletableFuture<ClaimVerdict> verdict = new CompletableFuture<>();
                waiting.put(claim.attempt(), verdict);
                Runnable giveUp = () -> whenAwake(() -> verdict.complete(new ClaimVerdict.Failed(fault("log"))));
                messages.add(new Message(
                        () -> {
                            if (logDown) {
                                giveUp.run();
                            } else {
                                log.add(claim);
                                messages.add(new Message(() -> whenAwake(this::fold), giveUp));
                            }
                        },
                        () -> {
                            log.add(claim);
                            messages.add(new Message(() -> whenAwake(this::fold), giveUp));
                            log.add(claim);
                        }));
                return verdict;
            }

            private void fold() {
                while (folded < log.size()) {
                    Claim claim = log.get(folded++);
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
                Agent agent = agent(to);
                messages.add(new Message(() -> agent.handle(request, listener, this), () -> {
                    whenAwake(() -> listener.onEnd(Outcome.unknown(fault("the request was lost, or is late"))));
                    messages.add(new Message(() -> agent.handle(request, new Sent("late"), this), () -> {}));
                }));
                return () -> {};
            }

            private Agent agent(Replica to) {
                return agents.stream()
                        .filter(one -> one.name.equals(to.instance()))
                        .findFirst()
                        .orElseThrow();
            }

            @Override
            public CompletableFuture<Result<Optional<Ledger.Settled>>> settle(Replica to, Claim claim) {
                CompletableFuture<Result<Optional<Ledger.Settled>>> result = new CompletableFuture<>();
                Runnable lost = () -> whenAwake(() -> result.complete(Result.failure(fault("no answer"))));
                messages.add(new Message(
                        () -> {
                            Agent agent = agent(to);
                            Optional<Ledger.Settled> settled = claim.epoch().equals(agent.epoch())
                                    ? Optional.of(
                                            agent.ledger.settle(claim.key(), claim.latestStartMillis(), clock.millis()))
                                    : Optional.empty();
                            messages.add(
                                    new Message(() -> whenAwake(() -> result.complete(Result.success(settled))), lost));
                        },
                        lost));
                return result;
            }
        }
    }
}
