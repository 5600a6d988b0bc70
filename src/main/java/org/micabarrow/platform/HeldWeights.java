package org.micabarrow.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;

/** Reads what endpoints say of the weights that they hold, which their entries and their reports write alike. */
final class HeldWeights {

    private HeldWeights() {}

    /** The weight version of each model; to be changed by whoever asked. */
    static Map<String, Long> models(JsonNode json) {
        Map<String, Long> models = new HashMap<>();
        json.path("models")
                .forEach(model -> models.put(
                        model.path("name").asText(), model.path("version").asLong()));
        return models;
    }

    /**
     * How many layers are held, the greatest number if that is not told. The range of layers ends before "target_version",
     * which is no version.
     */
    static int layers(JsonNode json) {
        JsonNode range = json.path("layers");
        return range.isObject()
                ? range.path("target_version").asInt() - range.path("from").asInt()
                : Integer.MAX_VALUE;
    }
}
