package org.micabarrow.transport;

import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.micabarrow.coordination.endpoint.Endpoint;
import org.micabarrow.coordination.endpoint.EndpointCalls;
import org.micabarrow.protocol.PlatformMessages;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;

/** The endpoint beside an agent, over HTTP. */
public final class EndpointClient implements Endpoint, EndpointCalls {

    /** Names the attempt; an endpoint that knows the header sends it back. */
    public static final String ATTEMPT = "X-Attempt";

    /** Names the version that must answer, and in the answer the one that did. */
    public static final String VERSION = "X-Weights-Version";

    /** 0 for the most urgent requests. */
    public static final String PRIORITY = "X-Priority";

    /** In an answer of status 503: the request has truly not run. */
    public static final String NOT_RUN = "X-Not-Run";

    /** How long an endpoint may take for a report. */
    private static final Duration REPORT_WITHIN = Duration.ofSeconds(1);

    /** How long an endpoint may take for a chunk. */
    private static final Duration STAGE_WITHIN = Duration.ofSeconds(10);

    /** How long an endpoint may take for an order, which may load a whole version. */
    private static final Duration ORDER_WITHIN = Duration.ofSeconds(30);

    private static final int UNAVAILABLE = 503;

    private final HttpClient caller;
    private final String url;

    /**
     * Makes a client.
     *
     * @param caller sends the requests
     * @param url the endpoint's base address
     */
    public EndpointClient(HttpClient caller, String url) {
        this.caller = Objects.requireNonNull(caller, "caller is null");
        this.url = Objects.requireNonNull(url, "url is null");
    }

    // -- orders

    @Override
    public Result<Report> report() {
        HttpCall call = HttpCall.get(Step.STATUS, URI.create(url + "/report"));
        return caller.call(call, REPORT_WITHIN).flatMap(answer -> PlatformClient.read(call, answer, Report.class));
    }

    @Override
    public Result<Integer> stage(String artifact, int index, byte[] data) {
        URI uri = URI.create(url + "/weights/" + artifact + "/chunks/" + index);
        HttpCall call = new HttpCall(Step.STAGE, "PUT", uri, Map.of(), data);
        return caller.call(call, STAGE_WITHIN)
                .flatMap(answer -> PlatformClient.read(call, answer, PlatformMessages.Staged.class))
                .map(PlatformMessages.Staged::chunks);
    }

    @Override
    public Result<Boolean> order(Order order) {
        HttpCall call = HttpCall.post(Step.ORDER, URI.create(url + "/orders"), CanonicalJson.write(order));
        return caller.call(call, ORDER_WITHIN)
                .flatMap(answer -> PlatformClient.read(call, answer, PlatformMessages.Ordered.class))
                .flatMap(ordered -> ordered.accepted()
                        ? Result.success(true)
                        : Result.failure(Fault.of(Step.ORDER, call.peer(), Reason.CONFLICT, ordered.reason())));
    }

    // -- requests

    @Override
    public Runnable send(Call call, Listener listener) {
        HttpCall http = new HttpCall(
                Step.RUN,
                call.method(),
                URI.create(url + call.path()),
                Map.of(
                        "Content-Type",
                        call.contentType(),
                        ATTEMPT,
                        call.attempt(),
                        VERSION,
                        call.version(),
                        PRIORITY,
                        Integer.toString(call.priority())),
                call.body());
        return caller.send(http, new Passing(http, listener));
    }

    /** Passes an answer on, and turns an endpoint's "not run" into a failure. */
    private static final class Passing implements HttpClient.Listener {

        private final HttpCall call;
        private final Listener listener;
        private boolean refused;

        private Passing(HttpCall call, Listener listener) {
            this.call = call;
            this.listener = listener;
        }

        @Override
        public void onHead(int status, Map<String, String> headers) {
            refused = status == UNAVAILABLE && headers.containsKey(NOT_RUN);
            if (!refused) {
                listener.onHead(
                        status,
                        headers.getOrDefault("Content-Type", "application/octet-stream"),
                        Optional.ofNullable(headers.get(ATTEMPT)),
                        Optional.ofNullable(headers.get(VERSION)));
            }
        }

        @Override
        public void onData(byte[] data, Runnable more) {
            if (refused) {
                more.run();
            } else {
                listener.onData(data, more);
            }
        }

        @Override
        public void onComplete() {
            if (refused) {
                Fault fault = Fault.of(Step.RUN, call.peer(), Reason.OVERLOADED, "the endpoint refused the request");
                listener.onFailed(fault, false);
            } else {
                listener.onComplete();
            }
        }

        @Override
        public void onFailed(Fault fault, boolean sent) {
            listener.onFailed(fault, sent);
        }
    }
}
