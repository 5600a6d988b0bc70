package org.micabarrow.protocol;

import java.util.List;
import org.micabarrow.state.Plan;

/** The JSON messages between the operators' command line and an entry. */
public final class OperatorMessages {

    private OperatorMessages() {}

    /**
     * The response to an intent: the proposed plan.
     *
     * @param id the plan's digest, by which an operator confirms it
     * @param plan the proposed plan
     */
    public record PlanResponse(String id, Plan plan) {}

    /**
     * A request to confirm a plan.
     *
     * @param id the id of the plan
     */
    public record ConfirmRequest(String id) {}

    /**
     * The response to a confirmation.
     *
     * @param id the id of the plan
     * @param accepted whether the plan is active
     * @param offset the offset of the confirmation in the log
     * @param reason why the plan was not accepted, empty if it was
     * @param inForceOn the number of instances on which the plan is active
     * @param instances the number of listed instances
     * @param notConfirmedBy the instances that did not confirm the plan in time
     */
    public record ConfirmResponse(
            String id,
            boolean accepted,
            long offset,
            String reason,
            int inForceOn,
            int instances,
            List<String> notConfirmedBy) {

        /** Copies the list defensively. */
        public ConfirmResponse {
            notConfirmedBy = List.copyOf(notConfirmedBy);
        }
    }

    /**
     * The status of an entry and of the replicas that it knows.
     *
     * @param entry the entry that responds
     * @param generation the generation of its configuration
     * @param digest the digest of its folded state
     * @param stopped why it has stopped applying configuration records, empty if it has not
     * @param logSilentMillis the time since the last contact with the log, in milliseconds
     * @param waiting the number of requests in the wait queue
     * @param replicas the status of each replica
     */
    public record Status(
            String entry,
            long generation,
            String digest,
            String stopped,
            long logSilentMillis,
            int waiting,
            List<Replica> replicas) {

        /** Copies the list defensively. */
        public Status {
            replicas = List.copyOf(replicas);
        }
    }

    /**
     * The status of a replica.
     *
     * @param placement the name of its placement
     * @param instance the id of its instance
     * @param region the region of the instance
     * @param hall the data hall of the instance
     * @param version the version that the placement requires
     * @param state the progress of the rollout on this replica
     * @param chunks the number of chunks staged
     * @param total the number of chunks of the version
     * @param serving the version that serves requests, empty for none
     * @param generation the generation of the agent's configuration
     * @param fault the latest failure, empty for none
     */
    public record Replica(
            String placement,
            String instance,
            String region,
            String hall,
            String version,
            String state,
            int chunks,
            int total,
            String serving,
            long generation,
            String fault) {}

    /**
     * Explains which replicas could serve a request, and why the others could not.
     *
     * @param organisation the organisation that would send the request
     * @param workload the model or service that the request would name
     * @param placement the placement that would serve the request, empty for none
     * @param verdict the conclusion in one sentence
     * @param replicas the eligibility of each replica
     */
    public record ExplainResponse(
            String organisation, String workload, String placement, String verdict, List<Candidate> replicas) {

        /** Copies the list defensively. */
        public ExplainResponse {
            replicas = List.copyOf(replicas);
        }
    }

    /**
     * The eligibility of a replica for a request.
     *
     * @param instance the id of its instance
     * @param hall the data hall of the instance
     * @param eligible whether the replica could serve the request
     * @param reason why it could not, empty if it could
     */
    public record Candidate(String instance, String hall, boolean eligible, String reason) {}

    /**
     * The body of an error response; the parts are those of {@link org.micabarrow.state.Fault}.
     *
     * @param step the step that failed
     * @param peer the instance, file or service involved
     * @param reason the kind of failure
     * @param message a description for people
     */
    public record Error(String step, String peer, String reason, String message) {}
}
