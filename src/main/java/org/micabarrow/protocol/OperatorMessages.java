package org.micabarrow.protocol;

import java.util.List;
import org.micabarrow.state.Plan;

/** The JSON messages between operators' commands and an entry. */
public final class OperatorMessages {

    private OperatorMessages() {}

    /**
     * A plan with its id.
     *
     * @param id the name by which it is confirmed
     * @param plan the plan
     */
    public record Planned(String id, Plan plan) {}

    /**
     * A wish to confirm a plan.
     *
     * @param id the plan
     */
    public record Confirm(String id) {}

    /**
     * What became of a confirmation.
     *
     * @param id the plan
     * @param accepted whether it is in force
     * @param offset the offset of the confirmation in the log
     * @param reason why it was not accepted, empty if it was
     * @param inForceOn on how many instances it is in force
     * @param instances how many instances there are
     * @param notConfirmedBy the instances that did not say so in time
     */
    public record Confirmed(
            String id,
            boolean accepted,
            long offset,
            String reason,
            int inForceOn,
            int instances,
            List<String> notConfirmedBy) {

        /** Copies the list. */
        public Confirmed {
            notConfirmedBy = List.copyOf(notConfirmedBy);
        }
    }

    /**
     * The state of things.
     *
     * @param entry the entry that answers
     * @param generation its generation
     * @param digest the digest of its folded state
     * @param stopped why its configuration has stopped, empty if it has not
     * @param logSilentMillis how long ago the log was heard
     * @param waiting how many requests wait for room
     * @param replicas the replicas
     */
    public record Status(
            String entry,
            long generation,
            String digest,
            String stopped,
            long logSilentMillis,
            int waiting,
            List<Replica> replicas) {

        /** Copies the list. */
        public Status {
            replicas = List.copyOf(replicas);
        }
    }

    /**
     * A replica.
     *
     * @param placement the placement
     * @param instance the instance
     * @param region its region
     * @param hall its data hall
     * @param version the version asked for
     * @param state how far it has come
     * @param chunks the chunks staged
     * @param total the chunks in all
     * @param serving the version that answers, empty for none
     * @param generation the agent's generation
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
     * Why each replica may or may not take a request.
     *
     * @param organisation who would ask
     * @param workload what would be asked for
     * @param placement the placement under which it would run, empty for none
     * @param verdict a sentence
     * @param replicas what speaks for or against each
     */
    public record Explained(
            String organisation, String workload, String placement, String verdict, List<Candidate> replicas) {

        /** Copies the list. */
        public Explained {
            replicas = List.copyOf(replicas);
        }
    }

    /**
     * A replica that might take a request.
     *
     * @param instance the instance
     * @param hall its data hall
     * @param eligible whether it may
     * @param reason why not, empty if it may
     */
    public record Candidate(String instance, String hall, boolean eligible, String reason) {}

    /**
     * An error.
     *
     * @param step the step that failed
     * @param peer the peer at which it failed
     * @param reason the kind of failure
     * @param message a sentence
     */
    public record Error(String step, String peer, String reason, String message) {}
}
