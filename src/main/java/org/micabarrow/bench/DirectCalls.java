package org.micabarrow.bench;

import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.stream.IntStream;
import org.micabarrow.state.CanonicalJson;

/** Sends requests directly to the engines, bypassing entry and agents, as a baseline. */
final class DirectCalls {

    private final ClientCalls client;
    private final LocalSystem system;
    private final String version;
    private final int engineCount;

    /**
     * Creates the calls.
     *
     * @param client the client that sends the requests
     * @param system the system with the engines {@code engine-0}, {@code engine-1} and so on
     * @param version the weight version that requests name
     * @param engineCount the number of engines
     */
    DirectCalls(ClientCalls client, LocalSystem system, String version, int engineCount) {
        this.client = client;
        this.system = system;
        this.version = version;
        this.engineCount = engineCount;
    }

    /** Sends a request to the given engine. */
    ClientCalls.Response send(int engine, int number, int tokens) {
        return client.send(
                system.engineAddress("engine-" + engine) + "/v1/chat/completions",
                "-",
                CanonicalJson.write(ClientCalls.chatBody("bench", "request " + number, tokens, false)),
                Map.of("X-Weights-Version", version, "X-Attempt", "direct-" + System.nanoTime()));
    }

    /** Distributes requests over the engines round robin. */
    OpenLoopLoad.Target roundRobin() {
        AtomicInteger next = new AtomicInteger();
        return (number, organisation, tokens) -> send(next.getAndIncrement() % engineCount, number, tokens);
    }

    /** Sends each request to the engine with the fewest requests in flight. */
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
