package org.micabarrow.state;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

/** What a placement places: a model with its weights, or a plain service. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Workload.Model.class, name = "model"),
    @JsonSubTypes.Type(value = Workload.Service.class, name = "service")
})
public sealed interface Workload {

    /**
     * The name by which callers ask for it.
     *
     * @return the model's or the service's name
     */
    String name();

    /**
     * The weights that an instance must hold before it may serve.
     *
     * @return the artifacts, none for a service
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
     * The version that an answer must have been made with.
     *
     * @return the weights' digest, with adapters a digest over all; empty for a service
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
     * @param name the name in callers' requests
     * @param weights its base weights
     * @param adapters the adapters loaded on top
     */
    record Model(String name, Artifact weights, List<Artifact> adapters) implements Workload {

        /** Copies the list. */
        public Model {
            Objects.requireNonNull(name, "name is null");
            Objects.requireNonNull(weights, "weights is null");
            adapters = List.copyOf(adapters);
        }
    }

    /**
     * A plain service.
     *
     * @param name the name in callers' paths
     * @param repeatable whether its calls may be run again
     */
    record Service(String name, boolean repeatable) implements Workload {

        /** Checks the parts. */
        public Service {
            Objects.requireNonNull(name, "name is null");
        }
    }
}
