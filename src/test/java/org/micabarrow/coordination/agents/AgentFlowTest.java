package org.micabarrow.coordination.agents;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.micabarrow.Samples.WEIGHTS;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.ManualClock;
import org.micabarrow.Samples;
import org.micabarrow.coordination.admission.ConcurrencyLimit;
import org.micabarrow.coordination.calls.AgentRequest;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.calls.ResponseHead;
import org.micabarrow.coordination.calls.ResponseListener;
import org.micabarrow.coordination.claims.Claim;
import org.micabarrow.coordination.claims.Ledger;
import org.micabarrow.coordination.configuration.Configuration;
import org.micabarrow.coordination.configuration.ConfigurationReader;
import org.micabarrow.coordination.configuration.ControlThread;
import org.micabarrow.coordination.endpoint.EndpointCalls;
import org.micabarrow.coordination.membership.Identity;
import org.micabarrow.coordination.membership.ReplicaView;
import org.micabarrow.coordination.weights.WeightShare;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Replica;

/** What an agent lets start, and what it passes on. */
class AgentFlowTest {

    private final ManualClock clock = new ManualClock();
    private final FoldedState state = Samples.assistantOn(2);
    private final Replica here =
            state.activePlacement("assistant").orElseThrow().replicas().getFirst();
    private final Identity identity = new Identity(here.instance(), here.region(), here.hall(), 7);
    private final ConcurrencyLimit limit = new ConcurrencyLimit(1, 4, 4);
    private final Ledger ledger = new Ledger("7", 10, 1000, 1000);
    private final List<EndpointCalls.Listener> running = new ArrayList<>();
    private final List<Consumer<Boolean>> asking = new ArrayList<>();
    private final List<Outcome> ends = new ArrayList<>();
    private final StringBuilder passedOn = new StringBuilder();
    private final List<ResponseHead> heads = new ArrayList<>();
    private boolean endpointCancelled;
    private boolean leaving;
    private Optional<String> serving = Optional.of(WEIGHTS.digest());
    private ControlThread control;
    private AgentFlow flow;

    @BeforeEach
    void start() {
        control = ControlThread.start("test");
        Configuration configuration = new Configuration(control, clock);
        configuration
                .adopt(new ConfigurationReader.StateCopy(state, state.digest(), 0))
                .join();
        flow = new AgentFlow(new AgentFlow.Parts(
                identity,
                configuration,
                this::view,
                new StartCheck(identity, 1000),
                limit,
                ledger,
                new StubEndpoint(),
                new WeightShare(),
                clock,
                1000));
    }

    @AfterEach
    void stop() {
        control.close();
    }

    /** Keeps the listeners of its requests and the callbacks of those who ask whether it runs. */
    private final class StubEndpoint implements EndpointCalls {

        @Override
        public Runnable send(Call call, Listener listener) {
            running.add(listener);
            return () -> endpointCancelled = true;
        }

        @Override
        public void askWhetherRunning(Consumer<Boolean> callback) {
            asking.add(callback);
        }
    }

    private AgentView view() {
        ReplicaView replica = new ReplicaView(
                "assistant", WEIGHTS.digest(), ReplicaView.State.READY, 1, 1, serving, Optional.empty());
        return new AgentView(Map.of("assistant", replica), leaving, Optional.empty());
    }

    private Runnable begin(String placement, String organisation, Optional<Claim> claim) {
        AgentRequest request = new AgentRequest(
                "attempt", -1, placement, organisation, 1000, 0, false, "POST", "/", "text/plain", new byte[0], claim);
        return flow.begin(request, new ResponseListener() {
            @Override
            public void onHead(ResponseHead head) {
                heads.add(head);
            }

            @Override
            public void onData(byte[] data, Runnable more) {
                passedOn.append(new String(data, StandardCharsets.UTF_8));
                more.run();
            }

            @Override
            public void onEnd(Outcome outcome) {
                ends.add(outcome);
            }
        });
    }

    private void begin() {
        begin("assistant", "riders", Optional.empty());
    }

    private static Claim claim(String epoch) {
        return new Claim("key", "body", "here", epoch, Long.MAX_VALUE / 2, "attempt", Optional.empty());
    }

    private Reason refusal() {
        assertTrue(running.isEmpty(), "nothing reached the endpoint");
        return assertInstanceOf(Outcome.NotRun.class, ends.getFirst()).fault().reason();
    }

    // -- refusing

    @ParameterizedTest
    @CsvSource({
        "other, riders, false, true, OUTSIDE_PLACEMENT",
        "assistant, vans, false, true, OUTSIDE_PLACEMENT",
        "assistant, riders, true, true, LEAVING",
        "assistant, riders, false, false, NOT_READY",
    })
    void shouldRefuseByItsOwnConfiguration(
            String placement, String organisation, boolean nowLeaving, boolean ready, Reason reason) {
        leaving = nowLeaving;
        serving = ready ? serving : Optional.empty();
        begin(placement, organisation, Optional.empty());
        assertEquals(reason, refusal());
    }

    @Test
    void shouldRefuseBeyondLimit() {
        for (int i = 0; i < 5; i++) {
            begin();
        }
        assertEquals(4, running.size());
        assertEquals(
                Reason.OVERLOADED,
                assertInstanceOf(Outcome.NotRun.class, ends.getFirst()).fault().reason());
    }

    @Test
    void shouldRefuseClaimOfEarlierProcess() {
        begin("assistant", "riders", Optional.of(claim("6")));
        assertEquals(Reason.TOO_LATE, refusal());
        assertEquals(0, flow.open());
    }

    @Test
    void shouldRefuseClaimedKeyForGoodWhenItIsLeaving() {
        leaving = true;
        begin("assistant", "riders", Optional.of(claim("7")));
        assertEquals(Reason.LEAVING, refusal());
        assertEquals(
                Ledger.KeyState.REFUSED, flow.settle(claim("7")).orElseThrow().state());
    }

    // -- answers

    @Test
    void shouldNotTakeLongUnstreamedAnswersForSlowOnes() {
        for (int i = 0; i < 50; i++) {
            int priority = i % 2;
            flow.begin(
                    new AgentRequest(
                            "attempt",
                            -1,
                            "assistant",
                            "riders",
                            1000,
                            priority,
                            false,
                            "POST",
                            "/",
                            "text/plain",
                            new byte[0],
                            Optional.empty()),
                    ignoring());
            clock.advance(priority == 0 ? 50 : 900);
            running.getLast().onHead(200, "text/plain", Optional.of("attempt"), Optional.of(WEIGHTS.digest()));
            running.getLast().onComplete(true);
        }
        assertEquals(4, flow.mostOpen());
    }

    /** A stream that ends within an event was broken off, however the endpoint ended it. */
    @ParameterizedTest
    @CsvSource({"true, id: 1", "false, id: 1", "false, ''"})
    void shouldNotAnswerWhenStreamEndsWithinEvent(boolean endStated, String cut) {
        begin();
        running.getLast()
                .onHead(200, "text/event-stream; charset=utf-8", Optional.of("attempt"), Optional.of(WEIGHTS.digest()));
        running.getLast().onData(cut.getBytes(StandardCharsets.UTF_8), () -> {});
        running.getLast().onComplete(endStated);
        assertInstanceOf(Outcome.Unknown.class, ends.getFirst());
    }

    @ParameterizedTest
    @CsvSource({"true, text/event-stream", "false, text/event-stream", "false, text/plain"})
    void shouldAnswerWhenBodyMayBeWhole(boolean endStated, String contentType) {
        begin();
        running.getLast().onHead(200, contentType, Optional.of("attempt"), Optional.of(WEIGHTS.digest()));
        running.getLast().onData("id: 1\n\n".getBytes(StandardCharsets.UTF_8), () -> {});
        running.getLast().onComplete(endStated);
        assertEquals(endStated ? 1 : 0, ends.size(), "an end that was not stated waits for the endpoint");
        asking.forEach(callback -> callback.accept(true));
        assertInstanceOf(Outcome.Answered.class, ends.getFirst());
    }

    @ParameterizedTest
    @CsvSource({"text/event-stream, false", "text/plain, false", "text/plain, true"})
    void shouldNotAnswerWhenEndpointDiesBetweenPartsOfItsAnswer(String contentType, boolean claimed) {
        begin("assistant", "riders", claimed ? Optional.of(claim("7")) : Optional.empty());
        running.getLast().onHead(200, contentType, Optional.of("attempt"), Optional.of(WEIGHTS.digest()));
        running.getLast().onData("id: 1\n\n".getBytes(StandardCharsets.UTF_8), () -> {});
        running.getLast().onComplete(false);
        asking.forEach(callback -> callback.accept(false));
        assertInstanceOf(Outcome.Unknown.class, ends.getFirst());
        assertEquals(0, flow.open());
    }

    @Test
    void shouldPassOnWhatFollowsLastEvent() {
        begin();
        running.getLast().onHead(200, "text/event-stream", Optional.of("attempt"), Optional.of(WEIGHTS.digest()));
        running.getLast().onData("id: 1\n\n: the end".getBytes(StandardCharsets.UTF_8), () -> {});
        running.getLast().onComplete(true);
        assertEquals("id: 1\n\n: the end", passedOn.toString());
        assertInstanceOf(Outcome.Answered.class, ends.getFirst());
    }

    private static ResponseListener ignoring() {
        return new ResponseListener() {
            @Override
            public void onHead(ResponseHead head) {}

            @Override
            public void onData(byte[] data, Runnable more) {
                more.run();
            }

            @Override
            public void onEnd(Outcome outcome) {}
        };
    }

    @ParameterizedTest
    @CsvSource({"other-attempt, true", "attempt, false"})
    void shouldPassNothingOnFromAnotherAttemptOrVersion(String attempt, boolean rightVersion) {
        begin();
        running.getFirst()
                .onHead(200, "text/plain", Optional.of(attempt), Optional.of(rightVersion ? WEIGHTS.digest() : "old"));
        assertTrue(heads.isEmpty());
        assertInstanceOf(Outcome.Unknown.class, ends.getFirst());
        assertTrue(endpointCancelled);
        assertEquals(0, flow.open());
    }

    @Test
    void shouldCallCutAnswerUnknownAndNeverAnswered() {
        begin();
        running.getFirst().onHead(200, "text/plain", Optional.of("attempt"), Optional.of(WEIGHTS.digest()));
        running.getFirst().onFailed(Fault.of(Fault.Step.RUN, "engine", Reason.UNREACHABLE, "cut"), true);
        assertInstanceOf(Outcome.Unknown.class, ends.getFirst());
    }

    @Test
    void shouldCallRequestNotRunOnlyWhenItNeverLeft() {
        begin("assistant", "riders", Optional.of(claim("7")));
        running.getFirst().onFailed(Fault.of(Fault.Step.RUN, "engine", Reason.UNREACHABLE, "refused"), false);
        assertInstanceOf(Outcome.NotRun.class, ends.getFirst());
        assertEquals(
                Ledger.KeyState.REFUSED, flow.settle(claim("7")).orElseThrow().state());
    }

    @Test
    void shouldCancelEndpointWhenCallerGoesButNotForClaimedRequest() {
        begin("assistant", "riders", Optional.of(claim("7"))).run();
        assertEquals(false, endpointCancelled);
        begin("assistant", "riders", Optional.empty()).run();
        assertTrue(endpointCancelled);
    }

    @Test
    void shouldNotKnowClaimOfAnotherProcess() {
        assertEquals(Optional.empty(), flow.settle(claim("6")));
    }
}
