package org.micabarrow.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.micabarrow.platform.JsonFields.MalformedField;
import org.micabarrow.routing.EndpointCondition;

/** Reads what endpoints write alike in their entries and in their reports. */
final class EndpointFields {

    private static final String STARTED = "born";

    /** The longest time, in milliseconds, for which an endpoint is taken as cold by one of its statements. */
    private static final long MAX_COLD_MILLIS = 60_000;

    private EndpointFields() {}

    /** The weight version of each model; to be changed by whoever asked. */
    static Map<String, Long> models(JsonNode json) {
        Map<String, Long> models = new HashMap<>();
        for (JsonNode model : JsonFields.objectsIfPresent(json, "models")) {
            models.put(JsonFields.text(model, "name"), JsonFields.whole(model, "version", 0));
        }
        return models;
    }

    /**
     * How many layers are held of one version, the greatest number if that is not told. They are told as one range, or as a
     * list of them; layers of two versions make no whole model.
     */
    static int layers(JsonNode json) {
        JsonNode told = json.path("layers");
        if (told.isMissingNode() || told.isNull()) {
            return Integer.MAX_VALUE;
        }
        Map<Long, Integer> ofVersion = new HashMap<>();
        for (JsonNode range : told.isArray() ? JsonFields.objects(json, "layers") : List.of(told)) {
            ofVersion.merge(version(range), width(range), EndpointFields::sum);
        }
        return ofVersion.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    private static long version(JsonNode range) {
        JsonFields.object(range, "a range of layers");
        return range.has("version") ? JsonFields.whole(range, "version", 0) : 0;
    }

    /** The range ends before "target_version", which is no version. */
    private static int width(JsonNode range) {
        int from = JsonFields.wholeInt(range, "from", 0);
        return JsonFields.wholeInt(range, "target_version", from) - from;
    }

    private static int sum(int one, int other) {
        return (int) Math.min((long) one + other, Integer.MAX_VALUE);
    }

    /** The Unix millisecond at which the endpoint was started; empty on platforms where endpoints do not tell it. */
    static OptionalLong startedMillis(JsonNode json) {
        if (!json.has(STARTED)) {
            return OptionalLong.empty();
        }
        if (json.path(STARTED).isNull()) {
            throw new MalformedField("field " + STARTED + " is null");
        }
        return OptionalLong.of(JsonFields.whole(json, STARTED, 1));
    }

    /**
     * How much longer the endpoint stays cold, in milliseconds; 0 where it does not say so, or says it in a form that is no
     * number of milliseconds up to {@link #MAX_COLD_MILLIS}.
     */
    static long coldLeftMillis(JsonNode json) {
        JsonNode told = json.path("cold_left_ms");
        return told.isNumber() ? coldMillis(told.doubleValue()) : 0;
    }

    /** A time for which an endpoint is taken as cold; 0 for what is no time above 0. */
    static long coldMillis(double millis) {
        return millis > 0 ? (long) Math.min(Math.ceil(millis), MAX_COLD_MILLIS) : 0;
    }

    /** Progress and memory; a number that is absent or of another form counts as not reported. */
    static EndpointCondition condition(JsonNode json) {
        return new EndpointCondition(
                JsonFields.intOr(json, "running", 0),
                JsonFields.intOr(json, "queued", 0),
                pace(json),
                tokens(json, "kv_used"),
                tokens(json, "kv_total"));
    }

    private static OptionalDouble pace(JsonNode json) {
        JsonNode told = json.path("pace");
        return told.isNumber() ? OptionalDouble.of(told.doubleValue()) : OptionalDouble.empty();
    }

    private static OptionalLong tokens(JsonNode json, String field) {
        JsonNode told = json.path(field);
        return told.isIntegralNumber() && told.canConvertToLong()
                ? OptionalLong.of(told.longValue())
                : OptionalLong.empty();
    }

    /** The count that rises with each write of an entry; empty where there is none, or it is no whole number. */
    static OptionalLong writes(JsonNode json) {
        JsonNode count = json.path("sequence");
        return count.isIntegralNumber() && count.canConvertToLong()
                ? OptionalLong.of(count.longValue())
                : OptionalLong.empty();
    }
}
