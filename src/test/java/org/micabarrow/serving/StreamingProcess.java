package org.micabarrow.serving;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.memory.HeldBytes;
import org.micabarrow.serving.EndpointProtocol.ResponseHead;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpListener;

/** A process that begins a response to each client, and goes on with none until it is killed. */
final class StreamingProcess {

    /** The part of the response that it writes. */
    static final String FIRST_PART = "id: 1\n\n";

    private StreamingProcess() {}

    /**
     * Serves clients.
     *
     * @param arguments the port on the loopback address
     * @throws IOException if the port cannot be used
     * @throws InterruptedException if interrupted
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        ClientMemory memory =
                new ClientMemory(new HeldBytes(Runtime.getRuntime().maxMemory()), new MetricRegistry());
        HttpListener.startOnWorker(
                "127.0.0.1:" + arguments[0],
                HttpListener.Limits.defaults(),
                HttpClient.worker("serving", 1),
                exchange -> {
                    ClientResponse response = new ClientResponse(exchange, memory);
                    exchange.dispatch(() -> {
                        response.start(head());
                        response.write(FIRST_PART.getBytes(StandardCharsets.US_ASCII), () -> {});
                    });
                });
        System.out.println("listening");
        Thread.currentThread().join();
    }

    private static ResponseHead head() {
        HeaderFields headers = HeaderFields.of("Content-Type", "text/event-stream");
        OptionalLong none = OptionalLong.empty();
        return new ResponseHead(
                200, true, true, false, false, Optional.empty(), false, none, OptionalDouble.empty(), none, headers);
    }
}
