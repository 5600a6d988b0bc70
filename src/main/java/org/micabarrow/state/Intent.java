package org.micabarrow.state;

import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * What operators declare, as kept under version control. Placements and organisations that it does not name stay as
 * they are.
 *
 * @param organisations the organisations to set
 * @param placements the placements to set
 */
public record Intent(List<Organisation> organisations, List<Declared> placements) {

    /** Copies the lists. */
    public Intent {
        organisations = List.copyOf(organisations);
        placements = List.copyOf(placements);
    }

    /** The weights' digests that the planner must know the sizes of. */
    static List<String> digests(Target target) {
        return switch (target) {
            case Target.Model model ->
                Stream.concat(Stream.of(model.version()), model.adapters().stream())
                        .toList();
            case Target.Service ignored -> List.of();
        };
    }

    /**
     * The digests of all weights that the intent names.
     *
     * @return the digests, each once
     */
    public List<String> artifactDigests() {
        return placements.stream()
                .flatMap(declared -> digests(declared.target()).stream())
                .distinct()
                .toList();
    }

    /** What is declared to be placed. */
    public sealed interface Target {

        /**
         * A model by the digests of its weights.
         *
         * @param name the name in callers' requests
         * @param version the digest of the base weights' manifest
         * @param adapters the digests of the adapters' manifests
         */
        record Model(String name, String version, List<String> adapters) implements Target {

            /** Copies the list. */
            public Model {
                Objects.requireNonNull(name, "name is null");
                Objects.requireNonNull(version, "version is null");
                adapters = List.copyOf(adapters);
            }
        }

        /**
         * A plain service.
         *
         * @param name the name in callers' paths
         * @param repeatable whether its calls may be run again
         */
        record Service(String name, boolean repeatable) implements Target {

            /** Checks the parts. */
            public Service {
                Objects.requireNonNull(name, "name is null");
            }
        }
    }

    /**
     * A declared placement.
     *
     * @param name its name
     * @param target what is placed
     * @param regions the regions allowed; empty allows all
     * @param halls the data halls allowed; empty allows all of the regions
     * @param organisations who may ask
     * @param replicas how many instances; 0 removes it
     * @param prefer what a rollout weighs more
     * @param whenCutOff what a cut-off instance does
     * @param envelope what may be done later without a new confirmation
     */
    public record Declared(
            String name,
            Target target,
            List<String> regions,
            List<String> halls,
            List<String> organisations,
            int replicas,
            Placement.Prefer prefer,
            Placement.CutOff whenCutOff,
            Placement.Envelope envelope) {

        /** Copies the lists. */
        public Declared {
            Objects.requireNonNull(name, "name is null");
            Objects.requireNonNull(target, "target is null");
            regions = List.copyOf(regions);
            halls = List.copyOf(halls);
            organisations = List.copyOf(organisations);
        }
    }
}
