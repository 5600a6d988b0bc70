package org.micabarrow.transport;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.state.Fault;

/** A process that sends one request and waits for its response until it is killed. */
final class WaitingClientProcess {

    /** The body that it sends. */
    static final String BODY = "a body";

    private WaitingClientProcess() {}

    /**
     * Sends the request and waits.
     *
     * @param arguments the server's port on the loopback address
     * @throws InterruptedException if interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        URI uri = URI.create("http://127.0.0.1:" + arguments[0]);
        byte[] body = BODY.getBytes(StandardCharsets.US_ASCII);
        HttpCall call = new HttpCall(Fault.Step.RUN, "POST", uri, Optional.of("/x"), HeaderFields.empty(), body);
        HttpClient.start("waiting", 1).send(call, new IgnoringListener());
        Thread.currentThread().join();
    }
}
