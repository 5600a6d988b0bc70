package org.micabarrow.transport;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.micabarrow.state.Fault;

/** A process that sends one request and waits for its answer until it is killed. */
final class WaitingCaller {

    /** The body that it sends. */
    static final String BODY = "a body";

    private WaitingCaller() {}

    /**
     * Sends and waits.
     *
     * @param arguments the port on loopback
     * @throws InterruptedException if interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        URI uri = URI.create("http://127.0.0.1:" + arguments[0]);
        byte[] body = BODY.getBytes(StandardCharsets.US_ASCII);
        HttpCall call = new HttpCall(Fault.Step.RUN, "POST", uri, Optional.of("/x"), Map.of(), body);
        HttpClient.start("waiting", 1).send(call, new IgnoringListener());
        Thread.currentThread().join();
    }
}
