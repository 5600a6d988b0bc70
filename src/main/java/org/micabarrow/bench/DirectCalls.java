package org.micabarrow.bench;

import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.stream.IntStream;
import org.micabarrow.state.CanonicalJson;

/** Sends requests straight to the engines, past entry and agents, for the baselines. */
final class DirectCalls {

    private final ClientCalls client;
    private final LocalSystem system;
    private final String version;
    private final int engineCount;

    /**
     * Makes the calls.
     *
     * @param caller sends them
     * @param system has the engines {@code engine-0}, {@code engine-1} and so on
     * @param version the version of the weights to ask for
     * @param engines how many engines there are
     */
    DirectCalls(ClientCalls caller, LocalSystem system, String version, int engines) {
        this.client = caller;
        this.system = system;
        this.version = version;
        this.engineCount = engines;
    }

    /** Sends a request to one engine. */
    ClientCalls.Response send(int engine, int number, int tokens) {
        return client.send(
                system.engineAddress("engine-" + engine) + "/v1/chat/completions",
                "-",
                CanonicalJson.write(ClientCalls.chatBody("bench", "request " + number, tokens, false)),
                Map.of("X-Weights-Version", version, "X-Attempt", "direct-" + System.nanoTime()));
    }

    /** Sends to the engines in turn. */
    OpenLoopLoad.Target roundRobin() {
        AtomicInteger next = new AtomicInteger();
        return (number, organisation, tokens) -> send(next.getAndIncrement() % engineCount, number, tokens);
    }

    /** Sends to the engine with the fewest requests in flight. */
    OpenLoopLoad.Target leastInFlight() {
        AtomicIntegerArray inFlight = new AtomicIntegerArray(engineCount);
        return (number, organisation, tokens) -> {
            int leastLoaded = IntStream.range(0, engineCount)
                    .reduce((a, b) -> inFlight.get(b) < inFlight.get(a) ? b : a)
                    .orElse(0);
            inFlight.incrementAndGet(leastLoaded);
            try {
                return send(leastLoaded, number, tokens);
            } finally {
                inFlight.decrementAndGet(leastLoaded);
            }
        };
    }
}
