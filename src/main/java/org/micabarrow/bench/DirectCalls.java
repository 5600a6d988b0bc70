package org.micabarrow.bench;

import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.stream.IntStream;
import org.micabarrow.state.CanonicalJson;

/** Sends requests straight to the engines, past entry and agents, for the baselines. */
final class DirectCalls {

    private final Caller caller;
    private final LocalSystem system;
    private final String version;
    private final int engines;

    /**
     * Makes the calls.
     *
     * @param caller sends them
     * @param system has the engines {@code engine-0}, {@code engine-1} and so on
     * @param version the version of the weights to ask for
     * @param engines how many engines there are
     */
    DirectCalls(Caller caller, LocalSystem system, String version, int engines) {
        this.caller = caller;
        this.system = system;
        this.version = version;
        this.engines = engines;
    }

    /** Sends a request to one engine. */
    Caller.Seen send(int engine, int number, int tokens) {
        return caller.send(
                system.engineAddress("engine-" + engine) + "/v1/chat/completions",
                "-",
                CanonicalJson.write(Caller.chatBody("bench", "request " + number, tokens, false)),
                Map.of("X-Weights-Version", version, "X-Attempt", "direct-" + System.nanoTime()));
    }

    /** Sends to the engines in turn. */
    OpenLoop.Target roundRobin() {
        AtomicInteger next = new AtomicInteger();
        return (number, organisation, tokens) -> send(next.getAndIncrement() % engines, number, tokens);
    }

    /** Sends to the engine with the fewest requests in flight. */
    OpenLoop.Target leastInFlight() {
        AtomicIntegerArray open = new AtomicIntegerArray(engines);
        return (number, organisation, tokens) -> {
            int least = IntStream.range(0, engines)
                    .reduce((a, b) -> open.get(b) < open.get(a) ? b : a)
                    .orElse(0);
            open.incrementAndGet(least);
            try {
                return send(least, number, tokens);
            } finally {
                open.decrementAndGet(least);
            }
        };
    }
}
