package org.micabarrow.state;

import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * The placements and organisations that operators declare in a file under version control. Placements and organisations
 * that the intent does not name stay unchanged.
 *
 * @param organisations the organisations to set
 * @param placements the placements to set
 */
public record Intent(List<Organisation> organisations, List<DeclaredPlacement> placements) {

    /** Copies the lists defensively. */
    public Intent {
        organisations = List.copyOf(organisations);
        placements = List.copyOf(placements);
    }

    /** Returns the digests of the weights of a target, whose sizes the planner needs. */
    static List<String> weightDigests(Target target) {
        return switch (target) {
            case Target.Model model ->
                Stream.concat(Stream.of(model.version()), model.adapters().stream())
                        .toList();
            case Target.Service ignored -> List.of();
        };
    }

    /**
     * Returns the digests of all weights that the intent names.
     *
     * @return the distinct digests
     */
    public List<String> artifactDigests() {
        return placements.stream()
                .flatMap(declared -> weightDigests(declared.target()).stream())
                .distinct()
                .toList();
    }

    /** The workload that an intent declares. */
    public sealed interface Target {

        /**
         * A model, with its weights given by digest.
         *
         * @param name the model name in callers' requests
         * @param version the digest of the base weights' manifest
         * @param adapters the digests of the adapters' manifests
         */
        record Model(String name, String version, List<String> adapters) implements Target {

            /** Rejects null values and copies the list defensively. */
            public Model {
                Objects.requireNonNull(name, "name is null");
                Objects.requireNonNull(version, "version is null");
                adapters = List.copyOf(adapters);
            }
        }

        /**
         * A service without weights.
         *
         * @param name the service name in callers' request paths
         * @param repeatable whether its calls are idempotent and may be retried
         */
        record Service(String name, boolean repeatable) implements Target {

            /** Rejects a null name. */
            public Service {
                Objects.requireNonNull(name, "name is null");
            }
        }
    }

    /**
     * A placement as an intent declares it.
     *
     * @param name the name of the placement
     * @param target the model or service to place
     * @param regions the regions allowed; empty allows all
     * @param halls the data halls allowed; empty allows all in the regions
     * @param organisations the organisations that may send requests
     * @param replicas the number of instances; 0 removes the placement
     * @param prefer whether a rollout minimises time or traffic from the origin
     * @param whenCutOff whether an instance without contact to the log serves or refuses requests
     * @param envelope the changes allowed later without a new confirmation
     */
    public record DeclaredPlacement(
            String name,
            Target target,
            List<String> regions,
            List<String> halls,
            List<String> organisations,
            int replicas,
            Placement.RolloutPreference prefer,
            Placement.CutOffPolicy whenCutOff,
            Placement.Envelope envelope) {

        /** Rejects null values and copies the lists defensively. */
        public DeclaredPlacement {
            Objects.requireNonNull(name, "name is null");
            Objects.requireNonNull(target, "target is null");
            regions = List.copyOf(regions);
            halls = List.copyOf(halls);
            organisations = List.copyOf(organisations);
        }
    }
}
