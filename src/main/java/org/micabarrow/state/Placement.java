package org.micabarrow.state;

import java.util.List;
import java.util.Objects;

/**
 * Where a workload may run, how often, and for whom.
 *
 * @param name its name
 * @param workload what is placed
 * @param regions the regions allowed; empty allows all
 * @param halls the data halls allowed; empty allows all of the regions
 * @param organisations the organisations that may ask
 * @param replicas how many instances serve it; 0 removes the placement
 * @param prefer what a rollout weighs more
 * @param whenCutOff what an instance does that hears nothing of the log
 * @param envelope what may be done later without a new confirmation
 */
public record Placement(
        String name,
        Workload workload,
        List<String> regions,
        List<String> halls,
        List<String> organisations,
        int replicas,
        Prefer prefer,
        CutOff whenCutOff,
        Envelope envelope) {

    /** Checks and copies the parts. */
    public Placement {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(workload, "workload is null");
        Objects.requireNonNull(prefer, "prefer is null");
        Objects.requireNonNull(whenCutOff, "whenCutOff is null");
        Objects.requireNonNull(envelope, "envelope is null");
        regions = List.copyOf(regions);
        halls = List.copyOf(halls);
        organisations = List.copyOf(organisations);
    }

    /** What a rollout weighs more. */
    public enum Prefer {
        TIME,
        ORIGIN_BYTES
    }

    /** What an instance does that has been cut off from the log for longer than the setting allows. */
    public enum CutOff {
        SERVE,
        REFUSE
    }

    /**
     * What a confirmation allows to be done later.
     *
     * @param replacements how many replicas may be replaced
     * @param originBytes how many bytes may be drawn from the origin beyond the plan's feeds
     */
    public record Envelope(int replacements, long originBytes) {}

    /**
     * Whether the placement allows a place.
     *
     * @param region the region
     * @param hall the data hall
     * @return true if both are allowed
     */
    public boolean allows(String region, String hall) {
        return (regions.isEmpty() || regions.contains(region)) && (halls.isEmpty() || halls.contains(hall));
    }
}
