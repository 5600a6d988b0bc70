package org.micabarrow.coordination.requests;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.micabarrow.coordination.calls.AgentRequest;
import org.micabarrow.coordination.calls.AnswerHead;
import org.micabarrow.coordination.calls.AnswerListener;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.claims.Claim;
import org.micabarrow.coordination.claims.Ledger;

/** An agent with the real ledger and an endpoint that counts. */
final class SimulatedAgent {

    final String name;
    private final RequestWorld world;
    private int process;
    Ledger ledger;

    SimulatedAgent(RequestWorld world, String name) {
        this.world = world;
        this.name = name;
        restart();
    }

    void restart() {
        process++;
        ledger = new Ledger(epoch(), 100, 1000, 60_000);
    }

    String epoch() {
        return Integer.toString(process);
    }

    void handle(AgentRequest request, AnswerListener listener, SimulatedEntry from) {
        Claim claim = request.claim().orElseThrow();
        Ledger current = ledger;
        switch (current.start(claim, world.clock.millis())) {
            case Ledger.Start.Run ignored -> run(current, request, claim, listener, from);
            case Ledger.Start.Refused(String why) ->
                answer(listener, from, Outcome.notRun(RequestWorld.fault(why), Duration.ofMillis(10)));
            default -> answer(listener, from, Outcome.unknown(RequestWorld.fault("run before")));
        }
    }

    private void run(Ledger current, AgentRequest request, Claim claim, AnswerListener listener, SimulatedEntry from) {
        String key = new String(request.body(), StandardCharsets.UTF_8);
        world.messages.add(new RequestWorld.Message(
                () -> {
                    world.runs.merge(key, 1, Integer::sum);
                    byte[] body = ("answer to " + key).getBytes(StandardCharsets.UTF_8);
                    current.ended(claim.key(), Optional.of(new Ledger.Answer(200, "text/plain", body)));
                    world.messages.add(new RequestWorld.Message(
                            () -> from.whenAwake(() -> give(listener, request.attempt(), body)),
                            () -> from.whenAwake(
                                    () -> listener.onEnd(Outcome.unknown(RequestWorld.fault("answer lost"))))));
                },
                () -> {
                    world.runs.merge(key, 1, Integer::sum);
                    current.ended(claim.key(), Optional.empty());
                    from.whenAwake(() -> listener.onEnd(Outcome.unknown(RequestWorld.fault("the endpoint died"))));
                }));
    }

    private void give(AnswerListener listener, String attempt, byte[] body) {
        listener.onHead(new AnswerHead(attempt, 200, "text/plain", "", name, "norte", "norte-a", 0));
        listener.onData(body, () -> listener.onEnd(Outcome.answered()));
    }

    private void answer(AnswerListener listener, SimulatedEntry from, Outcome outcome) {
        world.messages.add(new RequestWorld.Message(
                () -> from.whenAwake(() -> listener.onEnd(outcome)),
                () -> from.whenAwake(() -> listener.onEnd(Outcome.unknown(RequestWorld.fault("answer lost"))))));
    }
}
