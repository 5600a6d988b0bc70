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

/** The processes, the log and the messages between them. */
final class RequestWorld {

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
    final List<SentRequest> sent = new ArrayList<>();
    boolean logDown;
    int attempts;

    RequestWorld(long seed) {
        random = new Random(seed);
        for (int i = 0; i < AGENTS; i++) {
            agents.add(new SimulatedAgent(this, "agent-" + i));
        }
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new SimulatedEntry(this));
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
        for (SentRequest one : sent) {
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

    static Fault fault(String why) {
        return Fault.of(Fault.Step.RUN, "agent", Fault.Reason.UNREACHABLE, why);
    }

    /** A message on its way, with what happens if it arrives and if it does not. */
    record Message(Runnable arrives, Runnable lost) {}
}
