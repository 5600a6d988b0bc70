package org.micabarrow.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.micabarrow.routing.EndpointEntry;
import org.micabarrow.routing.ModelService;
import org.micabarrow.routing.RequestKind;
import org.micabarrow.routing.Route;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.routing.RouteManifest.KeyOwner;
import org.micabarrow.routing.RouteManifest.Service;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;
import org.micabarrow.views.RecordDecoder;
import org.micabarrow.views.StoredRecord;

/** Decodes what operators and endpoints write into the store. Fields that are not known are passed over. */
public final class StoreRecords implements RecordDecoder {

    private static final String MANIFEST_KEY = "config";
    private static final String VERSION_KEYS = "version/";
    private static final double MILLIS_A_SECOND = 1_000;

    /** What a route's timeout and objective are if the manifest names none: longer than any client waits. */
    private static final long NO_TIMEOUT_MILLIS = 60_000;

    /** The platform's usual bound on bodies, taken if a manifest names none. */
    private static final long USUAL_BODY_BYTES = 4L << 20;

    // -- decoding

    /** A field that must be there is not. */
    private static final class MissingField extends RuntimeException {

        private static final long serialVersionUID = 1;

        private MissingField(String message) {
            super(message);
        }
    }

    private interface Reading<T> {
        T read(JsonNode json);
    }

    private static <T> Result<T> decode(StoredRecord record, Reading<T> reading) {
        try {
            return Result.success(reading.read(CanonicalJson.mapper().readTree(record.value())));
        } catch (IOException e) {
            return refused(record, "not JSON: " + e.getMessage());
        } catch (MissingField e) {
            return refused(record, e.getMessage());
        }
    }

    private static <T> Result<T> refused(StoredRecord record, String why) {
        return Result.failure(Fault.of(Step.READ, record.key(), Reason.INVALID, why));
    }

    private static JsonNode need(JsonNode json, String field) {
        JsonNode value = json.path(field);
        if (value.isMissingNode() || value.isNull()) {
            throw new MissingField("field " + field + " is missing");
        }
        return value;
    }

    // -- what operators write

    @Override
    public Result<OperatorRecord> operator(StoredRecord record) {
        if (record.key().equals(MANIFEST_KEY)) {
            return decode(record, json -> new OperatorRecord.ManifestSet(manifest(json)));
        }
        if (record.key().startsWith(VERSION_KEYS)) {
            return decode(
                    record,
                    json -> new OperatorRecord.WeightsNamed(
                            need(json, "model").asText(), need(json, "version").asLong()));
        }
        return Result.success(new OperatorRecord.Unused());
    }

    private static RouteManifest manifest(JsonNode json) {
        List<Route> routes = new ArrayList<>();
        need(json, "routes").forEach(route -> routes.add(route(route)));
        Map<String, Service> services = new HashMap<>();
        need(json, "services").forEach(one -> {
            Service service = service(one);
            services.put(service.name(), service);
        });
        Map<String, KeyOwner> owners = new HashMap<>();
        // The platform's tenants are the project's organisations.
        json.path("tenants").forEach(one -> {
            KeyOwner owner = new KeyOwner(need(one, "name").asText(), number(one, "priority"));
            one.path("api_keys").forEach(key -> owners.put(key.asText(), owner));
        });
        return RouteManifest.of(new RouteManifest.Parts(
                need(json, "version").asLong(),
                routes,
                services,
                owners,
                json.path("tenants").size() > 0,
                json.path("limits").path("max_body_bytes").asLong(USUAL_BODY_BYTES)));
    }

    private static Optional<Integer> number(JsonNode json, String field) {
        return json.path(field).isNumber() ? Optional.of(json.path(field).asInt()) : Optional.empty();
    }

    private static Route route(JsonNode json) {
        List<Route.Share> shares = new ArrayList<>();
        json.path("traffic_split")
                .forEach(part -> shares.add(new Route.Share(
                        need(part, "service").asText(), need(part, "weight").asDouble())));
        if (shares.isEmpty()) {
            shares.add(new Route.Share(need(json, "service").asText(), 1));
        }
        long timeout = json.path("timeout_ms").asLong(NO_TIMEOUT_MILLIS);
        return new Route(
                json.path("name").asText(""),
                need(json, "host").asText(),
                need(json, "path_prefix").asText(),
                shares,
                kind(need(json, "kind").asText(), json.path("resumable").asBoolean(false)),
                timeout,
                json.path("target_latency_ms").asLong(timeout),
                json.path("priority").asInt(0),
                json.path("max_attempts").asInt(1),
                json.path("public").asBoolean(false));
    }

    private static RequestKind kind(String word, boolean resumable) {
        return switch (word) {
            case "idempotent" -> RequestKind.IDEMPOTENT;
            case "streaming" -> resumable ? RequestKind.RESUMABLE_STREAM : RequestKind.STREAM;
            // An unknown kind is treated as the strictest one.
            default -> RequestKind.AT_MOST_ONCE;
        };
    }

    private static Service service(JsonNode json) {
        return new Service(
                need(json, "name").asText(),
                json.path("max_connections").asInt(Integer.MAX_VALUE),
                json.has("engine") ? Optional.of(model(json.path("engine"))) : Optional.empty(),
                json.has("origin") ? Optional.of(json.path("origin").asText()) : Optional.empty());
    }

    private static ModelService model(JsonNode engine) {
        return new ModelService(
                engine.path("models").path(0).path("name").asText(),
                engine.path("slots").asInt(1),
                engine.path("read_per_s").asDouble(1) / MILLIS_A_SECOND,
                engine.path("step_ms").asDouble(0),
                engine.path("per_seq_ms").asDouble(0),
                engine.path("stride").asInt(1),
                engine.path("layers").asInt(1),
                engine.path("chunks").asInt(0),
                engine.path("chunk_bytes").asInt(0));
    }

    // -- what endpoints write

    @Override
    public Result<EndpointEntry> endpoint(StoredRecord record) {
        return decode(
                record,
                json -> new EndpointEntry(
                        record.key(),
                        need(json, "service").asText(),
                        need(json, "address").asText(),
                        json.path("zone").asText(""),
                        json.path("slots").asInt(1),
                        json.path("state").asText("").equals("draining"),
                        HeldWeights.models(json),
                        HeldWeights.layers(json)));
    }
}
