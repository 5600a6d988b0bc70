package org.micabarrow.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.platform.JsonFields.MalformedField;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpClient.HttpResponse;
import org.micabarrow.weights.ModelEndpoint;

/** The platform's calls to the endpoint on the agent's own instance. */
public final class EndpointCalls implements ModelEndpoint {

    /** Timeout of a call within the instance; the endpoint answers in about a millisecond. */
    private static final Duration TIMEOUT = Duration.ofMillis(1_000);

    /** The longest body of a report that is kept, in bytes; usual ones have under one KiB. */
    private static final int MAX_KEPT_BYTES = 16 * 1024;

    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int ACCEPTED = 202;
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;

    private final HttpClient caller;
    private final String base;
    private final IntSupplier totalLayers;
    private volatile Optional<Decoded> lastDecoded = Optional.empty();

    /** A report, and the body and the number of layers from which it was decoded. */
    private record Decoded(byte[] body, int layers, Report report) {

        private boolean isFrom(byte[] otherBody, int otherLayers, HeaderFields headers) {
            return layers == otherLayers
                    && report.draining() == EndpointHeaders.leaving(headers)
                    && report.rateLimit().equals(EndpointHeaders.limit(headers))
                    && Arrays.equals(body, otherBody);
        }
    }

    /**
     * Creates a client.
     *
     * @param caller sends its requests
     * @param address the endpoint's host and port
     * @param totalLayers how many layers the model has, 0 while that is not known
     */
    public EndpointCalls(HttpClient caller, String address, IntSupplier totalLayers) {
        this.caller = Objects.requireNonNull(caller, "caller is null");
        this.base = "http://" + Objects.requireNonNull(address, "address is null");
        this.totalLayers = Objects.requireNonNull(totalLayers, "totalLayers is null");
    }

    @Override
    public Result<Report> report() {
        HttpCall call = HttpCall.get(Step.STATUS, URI.create(base + WireNames.REPORT));
        return caller.read(call, TIMEOUT, answer -> {
            if (answer.status() != OK) {
                return refused(call, answer);
            }
            try {
                return Result.success(decoded(answer));
            } catch (IOException e) {
                return Result.failure(Fault.of(Step.STATUS, base, Reason.CORRUPT, "not JSON: " + e.getMessage()));
            } catch (MalformedField e) {
                return Result.failure(Fault.of(Step.STATUS, base, Reason.CORRUPT, e.getMessage()));
            }
        });
    }

    /**
     * The report in an answer. An endpoint at rest answers the same several times a second, which is decoded once, unless it is
     * too long to be kept.
     */
    private Report decoded(HttpResponse answer) throws IOException, MalformedField {
        int layers = totalLayers.getAsInt();
        Optional<Decoded> same = lastDecoded.filter(last -> last.isFrom(answer.body(), layers, answer.headers()));
        if (same.isPresent()) {
            return same.get().report();
        }
        Report report = report(CanonicalJson.mapper().readTree(answer.json()), layers, answer.headers());
        lastDecoded = Optional.of(new Decoded(answer.body(), layers, report))
                .filter(decoded -> decoded.body().length <= MAX_KEPT_BYTES);
        return report;
    }

    /** An endpoint that holds only some of the layers holds no version. */
    private static Report report(JsonNode json, int totalLayers, HeaderFields headers) {
        JsonFields.object(json, "the report");
        Map<String, Long> models = EndpointFields.models(json);
        boolean whole = EndpointFields.layers(json) >= totalLayers;
        // "sequence" counts the orders taken.
        return new Report(
                whole ? models : Map.of(),
                whole ? Map.of() : models,
                JsonFields.flag(json, "busy"),
                JsonFields.longOr(json, "sequence", 0),
                EndpointFields.condition(json),
                EndpointFields.startedMillis(json),
                EndpointHeaders.leaving(headers),
                EndpointHeaders.limit(headers));
    }

    private static <T> Result<T> refused(HttpCall call, HttpResponse answer) {
        return Result.failure(Fault.of(
                call.step(), call.peer(), Reason.UNKNOWN, call.uri().getPath() + " answered " + answer.status()));
    }

    // -- staged chunks; the index of a chunk is called "sample_count" on the wire

    @Override
    public Result<Boolean> stage(String model, int index, byte[] bytes) {
        HttpCall call = new HttpCall(
                Step.STAGE,
                "PUT",
                URI.create(base + WireNames.STAGE_PUT + model + "?sample_count=" + index),
                HeaderFields.of("Content-Type", "application/octet-stream"),
                bytes);
        return caller.call(call, TIMEOUT).flatMap(answer -> switch (answer.status()) {
            case OK, CREATED, NO_CONTENT -> Result.success(true);
            default -> refused(call, answer);
        });
    }

    @Override
    public Result<Optional<byte[]>> readStaged(String model, int index) {
        HttpCall call =
                HttpCall.get(Step.STAGE, URI.create(base + WireNames.STAGE_GET + model + "?sample_count=" + index));
        return caller.call(call, TIMEOUT).flatMap(answer -> switch (answer.status()) {
            case OK -> Result.success(Optional.of(answer.body()));
            case NOT_FOUND -> Result.success(Optional.empty());
            default -> refused(call, answer);
        });
    }

    // -- orders

    @Override
    public Result<OrderOutcome> load(String model, long version, long expectedOrders, BooleanSupplier stillDue) {
        return order(startOrder(model, version, expectedOrders), stillDue);
    }

    @Override
    public Result<OrderOutcome> loadLayer(String model, long version, int layer, long expectedOrders) {
        ObjectNode order = startOrder(model, version, expectedOrders);
        order.put("from", layer);
        // The end of the range of layers, not a version.
        order.put("target_version", layer + 1);
        return order(order, () -> true);
    }

    private static ObjectNode startOrder(String model, long version, long expectedOrders) {
        ObjectNode order = CanonicalJson.mapper().createObjectNode();
        order.put("operation", "start");
        order.put("model", model);
        order.put("version", version);
        order.put("mode", "queue");
        order.put("expected_revision", expectedOrders);
        return order;
    }

    private Result<OrderOutcome> order(ObjectNode order, BooleanSupplier stillDue) {
        HttpCall call = HttpCall.post(Step.ORDER, URI.create(base + WireNames.ORDER), CanonicalJson.write(order))
                .withHeader("Content-Type", "application/json");
        Result<HttpResponse> response = caller.call(call, TIMEOUT, stillDue);
        if (response.cause().filter(fault -> fault.reason() == Reason.TOO_LATE).isPresent()) {
            return Result.success(OrderOutcome.WITHHELD);
        }
        return response.flatMap(answer -> switch (answer.status()) {
            case ACCEPTED -> Result.success(OrderOutcome.BEGUN);
            case OK -> Result.success(OrderOutcome.HELD);
            case CONFLICT -> Result.success(OrderOutcome.CONFLICT);
            default -> refused(call, answer);
        });
    }
}
