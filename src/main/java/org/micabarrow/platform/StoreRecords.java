package org.micabarrow.platform;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.micabarrow.memory.HeldBytes;
import org.micabarrow.memory.JsonMemory;
import org.micabarrow.platform.JsonFields.MalformedField;
import org.micabarrow.routing.AllowedRegions;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.ModelProfile;
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
import org.micabarrow.views.VersionKeys;

/** Decodes what operators and endpoints write into the store. Fields that are not known are passed over. */
public final class StoreRecords implements RecordDecoder {

    private static final String MANIFEST_KEY = "config";
    private static final String EVACUATION_PREFIX = "evacuate/";
    private static final double MILLIS_PER_SECOND = 1_000;

    /** What a route's timeout and objective are if the manifest names none: longer than any client waits. */
    private static final long NO_TIMEOUT_MILLIS = 60_000;

    /** The platform's usual bound on bodies, taken if a manifest names none. */
    private static final long USUAL_BODY_BYTES = 4L << 20;

    /** Reads the whole of a record as one value, in which no field stands twice. */
    private static final ObjectReader WHOLE = CanonicalJson.mapper()
            .reader()
            .with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .with(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);

    /** An endpoint's id: it goes into a header of requests, and into lines of the log. */
    private static final Pattern ID = Pattern.compile("[!-~]+");

    /** The target of a request, without a query or a fragment. */
    private static final Pattern PATH = Pattern.compile("/[!-~&&[^?#]]*");

    private static final String OCTET = "(?:0|[1-9]\\d{0,2})";

    /** An address, whose parts may still be too great. */
    private static final Pattern ADDRESS = Pattern.compile("(" + OCTET + "(?:\\." + OCTET + "){3}):([1-9]\\d{0,4})");

    private static final int MAX_OCTET = 255;
    private static final int MAX_PORT = 65_535;

    // -- decoding

    private interface Reading<T> {
        T read(JsonNode json);
    }

    /** Whatever another writer left in the store is refused here, with a reason; it never ends the thread that reads on. */
    private static <T> Result<T> decode(StoredRecord record, Reading<T> reading) {
        HeldBytes.Hold tree = HeldBytes.ofRecords().holdComplete();
        try {
            if (!tree.complete(JsonMemory.treeBytes(record.value()))) {
                return refused(record, "no memory is left for the JSON of " + record.value().length + " bytes");
            }
            return Result.success(reading.read(JsonFields.object(WHOLE.readTree(record.value()), "the record")));
        } catch (JsonProcessingException e) {
            return refused(record, "not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            return refused(record, "not JSON: " + e.getMessage());
        } catch (MalformedField e) {
            return refused(record, e.getMessage());
        } catch (RuntimeException e) {
            return refused(record, "it cannot be read: " + e);
        } finally {
            tree.release();
        }
    }

    private static <T> Result<T> refused(StoredRecord record, String why) {
        return Result.failure(Fault.of(Step.READ, record.loggableKey(), Reason.INVALID, StoredRecord.loggable(why)));
    }

    // -- what operators write

    @Override
    public boolean isManifest(String key) {
        return key.equals(MANIFEST_KEY);
    }

    @Override
    public Optional<String> evacuatedHall(String key) {
        return key.startsWith(EVACUATION_PREFIX)
                ? Optional.of(key.substring(EVACUATION_PREFIX.length()))
                : Optional.empty();
    }

    @Override
    public Result<OperatorRecord> decodeOperatorRecord(StoredRecord record) {
        if (isManifest(record.key())) {
            return decode(record, json -> new OperatorRecord.ManifestPublished(manifest(json)));
        }
        if (record.key().startsWith(VersionKeys.VERSION_PREFIX)) {
            return decode(
                    record,
                    json -> new OperatorRecord.WeightsNamed(
                            JsonFields.text(json, "model"),
                            JsonFields.whole(json, "version", 1),
                            VersionRecords.namedMillis(json),
                            VersionRecords.namedByMillis(json)));
        }
        if (record.key().startsWith(VersionKeys.MANIFEST_PREFIX)) {
            return decode(record, VersionRecords::savedManifest);
        }
        return Result.success(new OperatorRecord.UnusedRecord());
    }

    @Override
    public OptionalLong savedReadTo(StoredRecord record) {
        return decode(record, VersionRecords::readTo).toOptional().orElse(OptionalLong.empty());
    }

    private static RouteManifest manifest(JsonNode json) {
        List<Route> routes = new ArrayList<>();
        JsonFields.objects(json, "routes").forEach(route -> routes.add(route(route)));
        Map<String, Service> services = new HashMap<>();
        JsonFields.objects(json, "services").forEach(one -> {
            Service service = service(one);
            services.put(service.name(), service);
        });
        // The platform's tenants are the project's organisations.
        List<JsonNode> tenants = JsonFields.objectsIfPresent(json, "tenants");
        Map<String, KeyOwner> owners = new HashMap<>();
        tenants.forEach(one -> {
            KeyOwner owner = new KeyOwner(
                    JsonFields.text(one, "name"),
                    JsonFields.numberIfPresent(one, "priority").map(Double::intValue),
                    allowedRegions(one));
            JsonFields.texts(one, "api_keys").forEach(key -> owners.put(key, owner));
        });
        return RouteManifest.of(new RouteManifest.Parts(
                JsonFields.whole(json, "version", 0),
                routes,
                services,
                owners,
                !tenants.isEmpty(),
                JsonFields.objectIfPresent(json, "limits")
                        .map(limits -> JsonFields.longOr(limits, "max_body_bytes", USUAL_BODY_BYTES))
                        .orElse(USUAL_BODY_BYTES)));
    }

    private static Route route(JsonNode json) {
        List<Route.WeightedService> shares = new ArrayList<>();
        JsonFields.objectsIfPresent(json, "traffic_split")
                .forEach(part -> shares.add(new Route.WeightedService(
                        JsonFields.text(part, "service"), JsonFields.number(part, "weight"))));
        if (shares.isEmpty()) {
            shares.add(new Route.WeightedService(JsonFields.text(json, "service"), 1));
        }
        long timeout = JsonFields.longOr(json, "timeout_ms", NO_TIMEOUT_MILLIS);
        return new Route(
                JsonFields.textIfPresent(json, "name").orElse(""),
                JsonFields.text(json, "host"),
                JsonFields.text(json, "path_prefix"),
                shares,
                kind(JsonFields.text(json, "kind"), JsonFields.flag(json, "resumable")),
                timeout,
                JsonFields.longOr(json, "target_latency_ms", timeout),
                JsonFields.intOr(json, "priority", 0),
                JsonFields.intOr(json, "max_attempts", 1),
                JsonFields.flag(json, "public"),
                allowedRegions(json));
    }

    /** A list without regions sets no restriction: manifests name the field on every route. */
    private static AllowedRegions allowedRegions(JsonNode json) {
        if (!json.hasNonNull("allowed_regions")) {
            return AllowedRegions.any();
        }
        Set<String> regions = Set.copyOf(JsonFields.texts(json, "allowed_regions"));
        return regions.isEmpty() ? AllowedRegions.any() : AllowedRegions.only(regions);
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
                JsonFields.text(json, "name"),
                JsonFields.intOr(json, "max_connections", Integer.MAX_VALUE),
                JsonFields.objectIfPresent(json, "engine").map(StoreRecords::model),
                JsonFields.textIfPresent(json, "origin"),
                coldPerSecond(json),
                healthPath(json));
    }

    /** A path that can be requested; any other value counts as absent. */
    private static Optional<String> healthPath(JsonNode json) {
        return Optional.ofNullable(json.path("health_path").textValue()).filter(PATH.asMatchPredicate());
    }

    /** Empty where it is absent or 0: such a service has no cold endpoints. */
    private static OptionalDouble coldPerSecond(JsonNode json) {
        double perSecond = JsonFields.numberOr(json, "cold_per_s", 0);
        return perSecond > 0 ? OptionalDouble.of(perSecond) : OptionalDouble.empty();
    }

    private static ModelProfile model(JsonNode engine) {
        List<JsonNode> models = JsonFields.objectsIfPresent(engine, "models");
        return new ModelProfile(
                models.isEmpty() ? "" : JsonFields.text(models.getFirst(), "name"),
                JsonFields.intOr(engine, "slots", 1),
                JsonFields.numberOr(engine, "read_per_s", 1) / MILLIS_PER_SECOND,
                JsonFields.numberOr(engine, "step_ms", 0),
                JsonFields.numberOr(engine, "per_seq_ms", 0),
                JsonFields.intOr(engine, "stride", 1),
                JsonFields.intOr(engine, "layers", 1),
                JsonFields.intOr(engine, "chunks", 0),
                JsonFields.intOr(engine, "chunk_bytes", 0));
    }

    // -- what endpoints write

    /**
     * Every endpoint writes all of these fields; an entry that lacks one comes from another writer. A field that is not used is
     * not looked at, so that one that changes its type costs no endpoint.
     */
    @Override
    public Result<EndpointRegistration> decodeEndpointRegistration(StoredRecord record) {
        return decode(
                record,
                json -> new EndpointRegistration(
                        id(record.key()),
                        JsonFields.text(json, "service"),
                        address(JsonFields.text(json, "address")),
                        JsonFields.text(json, "zone"),
                        JsonFields.wholeInt(json, "slots", 1),
                        leaving(JsonFields.text(json, "state")),
                        EndpointFields.models(json),
                        EndpointFields.layers(json),
                        EndpointFields.startedMillis(json),
                        EndpointFields.writes(json),
                        EndpointFields.coldLeftMillis(json)));
    }

    private static String id(String key) {
        if (!ID.matcher(key).matches()) {
            throw new MalformedField("the key is no id of an endpoint");
        }
        return key;
    }

    private static String address(String text) {
        Matcher parts = ADDRESS.matcher(text);
        boolean right = parts.matches()
                && Stream.of(parts.group(1).split("\\.")).allMatch(octet -> Integer.parseInt(octet) <= MAX_OCTET)
                && Integer.parseInt(parts.group(2)) <= MAX_PORT;
        if (!right) {
            throw new MalformedField("field address is not of the form IPv4:port");
        }
        return text;
    }

    private static boolean leaving(String state) {
        return switch (state) {
            case "ready" -> false;
            case "draining" -> true;
            default -> throw new MalformedField("field state is neither ready nor draining");
        };
    }
}
