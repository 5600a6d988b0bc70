package org.micabarrow.state;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

/** What a placement runs: a model with its weights, or a service without weights. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Workload.Model.class, name = "model"),
    @JsonSubTypes.Type(value = Workload.Service.class, name = "service")
})
public sealed interface Workload {

    /**
     * Returns the name by which callers request the workload.
     *
     * @return the name of the model or service
     */
    String name();

    /**
     * Returns the weights that an instance must hold before it may serve the workload.
     *
     * @return the artifacts, empty for a service
     */
    @JsonIgnore
    default List<Artifact> artifacts() {
        return switch (this) {
            case Model model ->
                Stream.concat(Stream.of(model.weights()), model.adapters().stream())
                        .toList();
            case Service ignored -> List.of();
        };
    }

    /**
     * Returns the version of the weights by which responses must be computed.
     *
     * @return the digest of the weights; with adapters, a digest of all digests; empty for a service
     */
    @JsonIgnore
    default String version() {
        List<Artifact> all = artifacts();
        return switch (all.size()) {
            case 0 -> "";
            case 1 -> all.getFirst().digest();
            default ->
                Digest.of(String.join("\n", all.stream().map(Artifact::digest).toList()));
        };
    }

    /**
     * A model.
     *
     * @param name the model name in callers' requests
     * @param weights the base weights
     * @param adapters the adapters applied to the base weights
     */
    record Model(String name, Artifact weights, List<Artifact> adapters) implements Workload {

        /** Rejects null values and copies the list defensively. */
        public Model {
            Objects.requireNonNull(name, "name is null");
            Objects.requireNonNull(weights, "weights is null");
            adapters = List.copyOf(adapters);
        }
    }

    /**
     * A service without weights.
     *
     * @param name the service name in callers' request paths
     * @param repeatable whether its calls are idempotent and may be retried
     */
    record Service(String name, boolean repeatable) implements Workload {

        /** Rejects a null name. */
        public Service {
            Objects.requireNonNull(name, "name is null");
        }
    }
}
