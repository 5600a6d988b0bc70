package org.micabarrow.state;

import java.util.List;
import java.util.Objects;

/**
 * The rules for a workload: where it may run, on how many instances, and for which organisations.
 *
 * @param name the name of the placement
 * @param workload the model or service that is placed
 * @param regions the regions allowed; empty allows all
 * @param halls the data halls allowed; empty allows all in the regions
 * @param organisations the organisations that may send requests
 * @param replicas the number of instances; 0 removes the placement
 * @param prefer whether a rollout minimises time or traffic from the origin
 * @param whenCutOff whether an instance without contact to the log serves or refuses requests
 * @param envelope the changes allowed later without a new confirmation
 */
public record Placement(
        String name,
        Workload workload,
        List<String> regions,
        List<String> halls,
        List<String> organisations,
        int replicas,
        RolloutPreference prefer,
        CutOffPolicy whenCutOff,
        Envelope envelope) {

    /** Rejects null values and copies the lists defensively. */
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

    /** What a rollout minimises: its duration, or the bytes sent by the origin. */
    public enum RolloutPreference {
        TIME,
        ORIGIN_BYTES
    }

    /** How an instance handles requests after it has had no contact with the log for longer than the configured time. */
    public enum CutOffPolicy {
        SERVE,
        REFUSE
    }

    /**
     * The changes that a confirmation allows without another one.
     *
     * @param replacements the number of replicas that may be replaced
     * @param originBytes the bytes that may be fetched from the origin in addition to those of the plan
     */
    public record Envelope(int replacements, long originBytes) {}

    /**
     * Checks whether the placement allows a location.
     *
     * @param region the region
     * @param hall the data hall
     * @return true if the region and the hall are allowed
     */
    public boolean allows(String region, String hall) {
        return (regions.isEmpty() || regions.contains(region)) && (halls.isEmpty() || halls.contains(hall));
    }
}
