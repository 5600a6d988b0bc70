package org.micabarrow.coordination.requests;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.micabarrow.coordination.calls.AgentRequest;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.calls.ResponseHead;
import org.micabarrow.coordination.calls.ResponseListener;
import org.micabarrow.coordination.claims.Claim;
import org.micabarrow.coordination.claims.Ledger;

/** An agent with the real ledger and a simulated endpoint that counts runs. */
final class SimulatedAgent {

    final String name;
    private final RequestSimulation simulation;
    private int restarts;
    Ledger ledger;

    SimulatedAgent(RequestSimulation simulation, String name) {
        this.simulation = simulation;
        this.name = name;
        restart();
    }

    void restart() {
        restarts++;
        ledger = new Ledger(epoch(), 100, 1000, 60_000);
    }

    String epoch() {
        return Integer.toString(restarts);
    }

    void handle(AgentRequest request, ResponseListener listener, SimulatedEntry from) {
        Claim claim = request.claim().orElseThrow();
        Ledger current = ledger;
        switch (current.start(claim, simulation.clock.millis())) {
            case Ledger.Start.Run ignored -> run(current, request, claim, listener, from);
            case Ledger.Start.Refused(String reason) ->
                reply(listener, from, Outcome.notRun(RequestSimulation.fault(reason), Duration.ofMillis(10)));
            default -> reply(listener, from, Outcome.unknown(RequestSimulation.fault("run before")));
        }
    }

    private void run(
            Ledger current, AgentRequest request, Claim claim, ResponseListener listener, SimulatedEntry from) {
        String key = new String(request.body(), StandardCharsets.UTF_8);
        simulation.messages.add(new RequestSimulation.Message(
                () -> {
                    simulation.runs.merge(key, 1, Integer::sum);
                    byte[] body = ("answer to " + key).getBytes(StandardCharsets.UTF_8);
                    current.recordEnd(claim.key(), Optional.of(new Ledger.StoredResponse(200, "text/plain", body)));
                    simulation.messages.add(new RequestSimulation.Message(
                            () -> from.whenRunning(() -> respond(listener, request.attempt(), body)),
                            () -> from.whenRunning(
                                    () -> listener.onEnd(Outcome.unknown(RequestSimulation.fault("response lost"))))));
                },
                () -> {
                    simulation.runs.merge(key, 1, Integer::sum);
                    current.recordEnd(claim.key(), Optional.empty());
                    from.whenRunning(
                            () -> listener.onEnd(Outcome.unknown(RequestSimulation.fault("the endpoint crashed"))));
                }));
    }

    private void respond(ResponseListener listener, String attempt, byte[] body) {
        listener.onHead(new ResponseHead(attempt, 200, "text/plain", "", name, "norte", "norte-a", 0));
        listener.onData(body, () -> listener.onEnd(Outcome.answered()));
    }

    private void reply(ResponseListener listener, SimulatedEntry from, Outcome outcome) {
        simulation.messages.add(new RequestSimulation.Message(
                () -> from.whenRunning(() -> listener.onEnd(outcome)),
                () -> from.whenRunning(
                        () -> listener.onEnd(Outcome.unknown(RequestSimulation.fault("response lost"))))));
    }
}
