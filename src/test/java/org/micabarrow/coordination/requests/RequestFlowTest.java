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
import org.micabarrow.coordination.calls.AgentClient;
import org.micabarrow.coordination.calls.AgentRequest;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.calls.ResponseHead;
import org.micabarrow.coordination.calls.ResponseListener;
import org.micabarrow.coordination.claims.Claim;
import org.micabarrow.coordination.claims.ClaimResult;
import org.micabarrow.coordination.claims.Ledger;
import org.micabarrow.coordination.membership.PeerView;
import org.micabarrow.coordination.membership.ReplicaView;
import org.micabarrow.coordination.routing.InstanceStats;
import org.micabarrow.coordination.routing.PrefixIndex;
import org.micabarrow.coordination.routing.Router;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Replica;
import org.micabarrow.state.Result;

/** Checks the outcome that a caller gets for each combination of outcomes of its attempts. */
class RequestFlowTest {

    private final ManualClock clock = new ManualClock();
    private final InstanceStats stats = new InstanceStats();
    private final List<AgentRequest> sent = new ArrayList<>();
    private final List<ResponseListener> attempts = new ArrayList<>();
    private final List<Outcome> outcomes = new ArrayList<>();
    private final List<String> received = new ArrayList<>();
    private final FoldedState state = Samples.assistantOn(3);
    private int limit = 10;
    private boolean cancelled;

    private final RequestFlow flow = new RequestFlow(
            () -> state,
            this::peers,
            new RequestFlow.Components(
                    new Router("norte", "norte-a", stats, new PrefixIndex(10), new Random(1)),
                    stats,
                    new PrefixIndex(10),
                    calls(),
                    key -> (claim, within) -> CompletableFuture.completedFuture(new ClaimResult.Won()),
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

    private AgentClient calls() {
        return new AgentClient() {
            @Override
            public Runnable handle(Replica to, AgentRequest request, ResponseListener listener) {
                sent.add(request);
                attempts.add(listener);
                return () -> cancelled = true;
            }

            @Override
            public CompletableFuture<Result<Optional<Ledger.Settlement>>> settle(Replica to, Claim claim) {
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
        return flow.begin(request, new ResponseListener() {
            @Override
            public void onHead(ResponseHead head) {
                received.add("head");
            }

            @Override
            public void onData(byte[] data, Runnable more) {
                received.add("data");
                more.run();
            }

            @Override
            public void onEnd(Outcome outcome) {
                outcomes.add(outcome);
            }
        });
    }

    private static Fault fault(Reason reason) {
        return Fault.of(Fault.Step.RUN, "agent", reason, "fault made by the test");
    }

    private static Outcome outcome(String name) {
        return switch (name) {
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
    void shouldReportOneOutcomeAfterAttempts(String first, String second, String third, String expected) {
        begin("r", 60_000, 0);
        for (String name : new String[] {first, second, third}) {
            if (!name.isEmpty()) {
                attempts.getLast().onEnd(outcome(name));
            }
        }
        assertEquals(1, outcomes.size());
        assertEquals(expected, outcomes.getFirst().getClass().getSimpleName());
    }

    @Test
    void shouldSendNewAttemptWhenOutcomeIsUnknown() {
        begin("r", 60_000, 0);
        attempts.get(0).onEnd(outcome("unknown"));
        attempts.get(1).onEnd(outcome("unknown"));
        assertEquals(3, sent.stream().map(AgentRequest::attempt).distinct().count());
    }

    @Test
    void shouldNotRetryWhenResponseHasStarted() {
        begin("r", 60_000, 0);
        attempts.getFirst().onHead(new ResponseHead("a", 200, "text/plain", "v", "i", "r", "h", 1));
        attempts.getFirst().onData(new byte[1], () -> {});
        attempts.getFirst().onEnd(outcome("unknown"));
        assertEquals(1, sent.size());
        assertInstanceOf(Outcome.Unknown.class, outcomes.getFirst());
    }

    @Test
    void shouldCancelAttemptWhenCallerDisconnects() {
        Runnable cancel = begin("r", 60_000, 0);
        cancel.run();
        assertTrue(cancelled);
    }

    @Test
    void shouldLimitRetriesToBudget() {
        for (int i = 0; i < 200; i++) {
            begin("r" + i, 60_000, 0);
            while (outcomes.size() <= i) {
                attempts.getLast().onEnd(outcome("notRun"));
            }
        }
        assertTrue(sent.size() <= 200 + 10 + 20, "sent: " + sent.size());
    }

    // -- waiting for a free slot

    @Test
    void shouldSendWaitingRequestWhenSlotBecomesFree() {
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
    void shouldReportNotRunWhenDeadlinePassesWithoutFreeSlot() {
        state.activePlacement("assistant")
                .orElseThrow()
                .replicas()
                .forEach(replica -> stats.requestSent(replica.instance()));
        limit = 0;
        clock.advance(RequestFlow.MAX_SLOT_WAIT.toMillis());
        begin("r", 1, 0);
        clock.advance(10);
        flow.dispatchWaiting();
        Outcome.NotRun notRun = assertInstanceOf(Outcome.NotRun.class, outcomes.getFirst());
        assertTrue(notRun.retryAfter().toMillis() > 0);
        assertTrue(sent.isEmpty());
    }

    @Test
    void shouldSendShortRequestWhenLongOnesWait() {
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
    void shouldEndWaitingRequestsWhenNoSlotBecomesFreeInTime() {
        limit = 1;
        for (int i = 0; i < 5; i++) {
            begin("r" + i, 60_000, 0);
        }
        clock.advance(RequestFlow.MAX_SLOT_WAIT.toMillis() + 1);
        flow.dispatchWaiting();
        assertEquals(2, outcomes.size());
        outcomes.forEach(outcome -> assertEquals(
                Reason.OVERLOADED,
                assertInstanceOf(Outcome.NotRun.class, outcome).fault().reason()));
    }
}
