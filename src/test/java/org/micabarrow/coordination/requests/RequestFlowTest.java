package org.micabarrow.coordination.requests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.ManualClock;
import org.micabarrow.Samples;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.coordination.calls.AgentCalls;
import org.micabarrow.coordination.calls.AgentRequest;
import org.micabarrow.coordination.calls.AnswerHead;
import org.micabarrow.coordination.calls.AnswerListener;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.claims.Claim;
import org.micabarrow.coordination.claims.ClaimVerdict;
import org.micabarrow.coordination.claims.Ledger;
import org.micabarrow.coordination.membership.PeerView;
import org.micabarrow.coordination.membership.ReplicaView;
import org.micabarrow.coordination.routing.PrefixIndex;
import org.micabarrow.coordination.routing.Router;
import org.micabarrow.coordination.routing.Traffic;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Replica;
import org.micabarrow.state.Result;

/** What a caller is told for each thing that can happen to its attempts. */
class RequestFlowTest {

    private final ManualClock clock = new ManualClock();
    private final Traffic traffic = new Traffic();
    private final List<AgentRequest> sent = new ArrayList<>();
    private final List<AnswerListener> attempts = new ArrayList<>();
    private final List<Outcome> ends = new ArrayList<>();
    private final List<String> received = new ArrayList<>();
    private final FoldedState state = Samples.assistantOn(3);
    private int limit = 10;
    private boolean cancelled;

    private final RequestFlow flow = new RequestFlow(
            () -> state,
            this::peers,
            new RequestFlow.Parts(
                    new Router("norte", "norte-a", traffic, new PrefixIndex(10), new Random(1)),
                    traffic,
                    new PrefixIndex(10),
                    calls(),
                    key -> (claim, within) -> CompletableFuture.completedFuture(new ClaimVerdict.Won()),
                    new RetryBudget(0.1, 10),
                    () -> "attempt-" + sent.size(),
                    clock,
                    Duration.ofSeconds(1)));

    private Map<String, PeerView> peers() {
        Map<String, PeerView> peers = new HashMap<>();
        state.activePlacement("assistant").orElseThrow().replicas().forEach(replica -> {
            ReplicaView view = new ReplicaView(
                    "assistant", "v", ReplicaView.State.READY, 1, 1, Optional.of("v"), Optional.empty());
            peers.put(
                    replica.instance(),
                    new PeerView(
                            replica.instance(),
                            "1",
                            1,
                            "",
                            true,
                            false,
                            Map.of("assistant", view),
                            new PeerView.Load(0, 0, limit, clock.millis())));
        });
        return peers;
    }

    private AgentCalls calls() {
        return new AgentCalls() {
            @Override
            public Runnable handle(Replica to, AgentRequest request, AnswerListener listener) {
                sent.add(request);
                attempts.add(listener);
                return () -> cancelled = true;
            }

            @Override
            public CompletableFuture<Result<Optional<Ledger.Settled>>> settle(Replica to, Claim claim) {
                return CompletableFuture.completedFuture(Result.success(Optional.empty()));
            }
        };
    }

    private Runnable begin(String id, long deadline, int priority) {
        CallerRequest request = new CallerRequest(
                id,
                Samples.RIDERS,
                "assistant",
                true,
                "POST",
                "/v1/chat/completions",
                "application/json",
                new byte[0],
                false,
                false,
                Optional.empty(),
                clock.millis() + deadline,
                priority,
                List.of());
        return flow.begin(request, new AnswerListener() {
            @Override
            public void onHead(AnswerHead head) {
                received.add("head");
            }

            @Override
            public void onData(byte[] data, Runnable more) {
                received.add("data");
                more.run();
            }

            @Override
            public void onEnd(Outcome outcome) {
                ends.add(outcome);
            }
        });
    }

    private static Fault fault(Reason reason) {
        return Fault.of(Fault.Step.RUN, "agent", reason, "as the test wants");
    }

    private static Outcome outcome(String word) {
        return switch (word) {
            case "notRun" -> Outcome.notRun(fault(Reason.NOT_READY), Duration.ofMillis(10));
            case "unknown" -> Outcome.unknown(fault(Reason.UNREACHABLE));
            default -> Outcome.answered();
        };
    }

    // -- attempts and outcomes

    @ParameterizedTest
    @CsvSource({
        "answered, '', '', Answered",
        "notRun, answered, '', Answered",
        "unknown, answered, '', Answered",
        "notRun, notRun, answered, Answered",
        "notRun, notRun, notRun, NotRun",
        "unknown, notRun, notRun, Unknown",
        "notRun, unknown, notRun, Unknown",
        "unknown, unknown, unknown, Unknown",
    })
    void shouldTellOneTrueOutcomeAfterAttempts(String first, String second, String third, String told) {
        begin("r", 60_000, 0);
        for (String word : new String[] {first, second, third}) {
            if (!word.isEmpty()) {
                attempts.getLast().onEnd(outcome(word));
            }
        }
        assertEquals(1, ends.size());
        assertEquals(told, ends.getFirst().getClass().getSimpleName());
    }

    @Test
    void shouldTryAnotherInstanceEachTime() {
        begin("r", 60_000, 0);
        attempts.get(0).onEnd(outcome("unknown"));
        attempts.get(1).onEnd(outcome("unknown"));
        assertEquals(3, sent.stream().map(AgentRequest::attempt).distinct().count());
    }

    @Test
    void shouldNotRepeatWhatHasBegunToAnswer() {
        begin("r", 60_000, 0);
        attempts.getFirst().onHead(new AnswerHead("a", 200, "text/plain", "v", "i", "r", "h", 1));
        attempts.getFirst().onData(new byte[1], () -> {});
        attempts.getFirst().onEnd(outcome("unknown"));
        assertEquals(1, sent.size());
        assertInstanceOf(Outcome.Unknown.class, ends.getFirst());
    }

    @Test
    void shouldCancelAttemptWhenCallerGoes() {
        Runnable cancel = begin("r", 60_000, 0);
        cancel.run();
        assertTrue(cancelled);
    }

    @Test
    void shouldSendNoMoreRetriesThanBudget() {
        for (int i = 0; i < 200; i++) {
            begin("r" + i, 60_000, 0);
            while (ends.size() <= i) {
                attempts.getLast().onEnd(outcome("notRun"));
            }
        }
        assertTrue(sent.size() <= 200 + 10 + 20, "sent: " + sent.size());
    }

    // -- waiting for room

    @Test
    void shouldWaitForRoomAndGoWhenThereIsSome() {
        limit = 1;
        for (int i = 0; i < 5; i++) {
            begin("r" + i, 60_000, 0);
        }
        assertEquals(3, sent.size());
        assertEquals(2, flow.waiting());
        attempts.getFirst().onEnd(Outcome.answered());
        assertEquals(4, sent.size());
    }

    @Test
    void shouldTellNotRunAtOnceWhenNobodyIsReady() {
        state.activePlacement("assistant")
                .orElseThrow()
                .replicas()
                .forEach(replica -> traffic.opened(replica.instance()));
        limit = 0;
        clock.advance(RequestFlow.LONGEST_QUEUE.toMillis());
        begin("r", 1, 0);
        clock.advance(10);
        flow.wake();
        Outcome.NotRun notRun = assertInstanceOf(Outcome.NotRun.class, ends.getFirst());
        assertTrue(notRun.retryAfter().toMillis() > 0);
        assertTrue(sent.isEmpty());
    }

    @Test
    void shouldNotLetLongRequestsBlockShortOnes() {
        limit = 5;
        for (int i = 0; i < 20; i++) {
            begin("long" + i, 60_000, 1);
        }
        int before = sent.size();
        begin("short", 60_000, 0);
        assertEquals(before + 1, sent.size());
        assertTrue(flow.waiting() > 0);
    }

    @Test
    void shouldEndWaitingRequestsInTimeWhenNoRoomComes() {
        limit = 1;
        for (int i = 0; i < 5; i++) {
            begin("r" + i, 60_000, 0);
        }
        clock.advance(RequestFlow.LONGEST_QUEUE.toMillis() + 1);
        flow.wake();
        assertEquals(2, ends.size());
        ends.forEach(end -> assertEquals(
                Reason.OVERLOADED,
                assertInstanceOf(Outcome.NotRun.class, end).fault().reason()));
    }
}
