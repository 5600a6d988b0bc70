package org.micabarrow.transport;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.micabarrow.coordination.endpoint.Endpoint;
import org.micabarrow.coordination.endpoint.EndpointCalls;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.protocol.PlatformMessages;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Calls the endpoint next to an agent over HTTP. */
public final class EndpointClient implements Endpoint, EndpointCalls {

    private static final Logger LOG = LoggerFactory.getLogger(EndpointClient.class);

    /** The id of the attempt; an endpoint that supports the header returns it in the response. */
    public static final String ATTEMPT = "X-Attempt";

    /** In a request, the weight version that must answer it; in the response, the version that did. */
    public static final String VERSION = "X-Weights-Version";

    /** The priority of the request; 0 is the most urgent. */
    public static final String PRIORITY = "X-Priority";

    /** In a response with status 503: the request was certainly not executed. */
    public static final String NOT_RUN = "X-Not-Run";

    /** The timeout for a report. */
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(1);

    /** The timeout for staging a chunk. */
    private static final Duration STAGE_TIMEOUT = Duration.ofSeconds(10);

    /** The timeout for an order, which may load a complete version. */
    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(30);

    private static final int SERVICE_UNAVAILABLE = 503;

    private final HttpClient client;
    private final String url;

    /**
     * Creates a client.
     *
     * @param client sends the requests
     * @param url the endpoint's base URL
     */
    public EndpointClient(HttpClient client, String url) {
        this.client = Objects.requireNonNull(client, "client is null");
        this.url = Objects.requireNonNull(url, "url is null");
    }

    // -- orders

    @Override
    public Result<Report> report() {
        HttpCall call = HttpCall.get(Step.STATUS, URI.create(url + "/report"));
        return client.read(call, REPORT_TIMEOUT, response -> PlatformClient.read(call, response, Report.class));
    }

    @Override
    public Result<Integer> stage(String artifact, int index, byte[] data) {
        URI uri = URI.create(url + "/weights/" + artifact + "/chunks/" + index);
        HttpCall call = new HttpCall(Step.STAGE, "PUT", uri, HeaderFields.empty(), data);
        return client.read(
                        call,
                        STAGE_TIMEOUT,
                        response -> PlatformClient.read(call, response, PlatformMessages.StagedChunkCount.class))
                .map(PlatformMessages.StagedChunkCount::chunks);
    }

    @Override
    public Result<Boolean> order(Order order) {
        HttpCall call = HttpCall.post(Step.ORDER, URI.create(url + "/orders"), CanonicalJson.write(order));
        return client.read(
                        call,
                        ORDER_TIMEOUT,
                        response -> PlatformClient.read(call, response, PlatformMessages.OrderResponse.class))
                .flatMap(ordered -> ordered.accepted()
                        ? Result.success(true)
                        : Result.failure(Fault.of(Step.ORDER, call.peer(), Reason.CONFLICT, ordered.reason())));
    }

    // -- requests

    @Override
    public Runnable send(Call call, Listener listener) {
        HttpCall request = new HttpCall(
                Step.RUN,
                call.method(),
                URI.create(url + call.path()),
                HeaderFields.of("Content-Type", call.contentType())
                        .with(ATTEMPT, call.attempt())
                        .with(VERSION, call.version())
                        .with(PRIORITY, Integer.toString(call.priority())),
                call.body());
        return client.send(request, new ResponseForwarder(request, listener));
    }

    @Override
    public void askWhetherRunning(Consumer<Boolean> callback) {
        HttpCall call = HttpCall.get(Step.STATUS, URI.create(url + "/report"));
        AnswerAwaiter answer = new AnswerAwaiter();
        Runnable cancel = client.send(call, answer);
        answer.arrived()
                .completeOnTimeout(false, REPORT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .thenAccept(arrived -> {
                    cancel.run();
                    callback.accept(arrived);
                });
    }

    /** Waits for an answer of any status. */
    private static final class AnswerAwaiter implements HttpClient.Listener {

        private final CompletableFuture<Boolean> arrived = new CompletableFuture<>();

        private CompletableFuture<Boolean> arrived() {
            return arrived;
        }

        @Override
        public void onHead(int status, HeaderFields headers) {
            // Any status shows that it runs, but only the end of the answer that it went on.
        }

        @Override
        public void onData(byte[] data, Runnable requestMore) {
            requestMore.run();
        }

        @Override
        public void onComplete(BodyEnd end) {
            arrived.complete(true);
        }

        @Override
        public void onFailed(Fault fault, boolean sent) {
            LOG.info("event=endpoint_silent why=\"{}\"", fault);
            arrived.complete(false);
        }
    }

    /**
     * Forwards a response to the listener, and reports one that states that the request was not executed as a failure.
     */
    private static final class ResponseForwarder implements HttpClient.Listener {

        private final HttpCall call;
        private final Listener listener;
        private boolean notExecuted;

        private ResponseForwarder(HttpCall call, Listener listener) {
            this.call = call;
            this.listener = listener;
        }

        @Override
        public void onHead(int status, HeaderFields headers) {
            notExecuted = status == SERVICE_UNAVAILABLE && headers.contains(NOT_RUN);
            if (!notExecuted) {
                listener.onHead(
                        status,
                        headers.first("Content-Type").orElse("application/octet-stream"),
                        headers.joined(ATTEMPT),
                        headers.joined(VERSION));
            }
        }

        @Override
        public void onData(byte[] data, Runnable requestMore) {
            if (notExecuted) {
                requestMore.run();
            } else {
                listener.onData(data, requestMore);
            }
        }

        @Override
        public void onComplete(BodyEnd end) {
            if (notExecuted) {
                Fault fault = Fault.of(Step.RUN, call.peer(), Reason.OVERLOADED, "the endpoint refused the request");
                listener.onFailed(fault, false);
            } else {
                listener.onComplete(end == BodyEnd.STATED);
            }
        }

        @Override
        public void onFailed(Fault fault, boolean sent) {
            listener.onFailed(fault, sent);
        }
    }
}
