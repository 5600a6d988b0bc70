package org.micabarrow.coordination.requests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.micabarrow.ManualClock;
import org.micabarrow.Samples;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.claims.Claim;
import org.micabarrow.state.Fault;
import org.micabarrow.state.FoldedState;

/** Simulation of the processes, the log and the messages between them. */
final class RequestSimulation {

    private static final int AGENTS = 3;
    private static final int ENTRIES = 2;
    private static final int KEYS = 3;

    final ManualClock clock = new ManualClock();
    private final Random random;
    final FoldedState state = Samples.billingOn("agent-0", "agent-1", "agent-2");
    final List<SimulatedAgent> agents = new ArrayList<>();
    private final List<SimulatedEntry> entries = new ArrayList<>();
    final List<Message> messages = new ArrayList<>();
    final List<Claim> log = new ArrayList<>();
    final Map<String, Integer> runs = new HashMap<>();
    final List<RecordedRequest> sent = new ArrayList<>();
    boolean logDown;
    int attempts;

    RequestSimulation(long seed) {
        random = new Random(seed);
        for (int i = 0; i < AGENTS; i++) {
            agents.add(new SimulatedAgent(this, "agent-" + i));
        }
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new SimulatedEntry(this));
        }
    }

    /** Executes one step of the fuzzer: mostly deliveries of messages, sometimes a fault. */
    void step(int choice) {
        int detail = choice / 10;
        switch (choice % 10) {
            case 0, 1 -> entries.get(detail % ENTRIES).send("key-" + detail / ENTRIES % KEYS);
            case 2, 3, 4, 5, 6 -> deliver(detail);
            case 7 -> drop(detail);
            case 8 -> injectFault(detail);
            default -> clock.advance(detail % 4 == 0 ? 2_000 : 50);
        }
    }

    private void injectFault(int detail) {
        switch (detail % 3) {
            case 0 -> agents.get(detail / 3 % AGENTS).restart();
            case 1 -> logDown = !logDown;
            default -> entries.get(detail / 3 % ENTRIES).paused ^= true;
        }
    }

    private void deliver(int detail) {
        if (!messages.isEmpty()) {
            messages.remove(detail % messages.size()).onArrival().run();
        }
    }

    private void drop(int detail) {
        if (!messages.isEmpty()) {
            messages.remove(detail % messages.size()).onLoss().run();
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
        for (RecordedRequest request : sent) {
            assertEquals(1, request.outcomes.size(), "every request has exactly one outcome");
            Outcome outcome = request.outcomes.getFirst();
            if (outcome instanceof Outcome.Answered) {
                assertEquals(1, runs.getOrDefault(request.key, 0), "answered means that it ran");
                assertEquals("answer to " + request.key, request.body.toString());
            }
            if (!(outcome instanceof Outcome.NotRun)) {
                mayHaveRun.put(request.key, true);
            }
        }
        runs.keySet()
                .forEach(key -> assertTrue(
                        mayHaveRun.containsKey(key),
                        key + " ran although every caller got the outcome that it had not run"));
    }

    static Fault fault(String message) {
        return Fault.of(Fault.Step.RUN, "agent", Fault.Reason.UNREACHABLE, message);
    }

    /** A message in transit, with the actions for its arrival and its loss. */
    record Message(Runnable onArrival, Runnable onLoss) {}
}
