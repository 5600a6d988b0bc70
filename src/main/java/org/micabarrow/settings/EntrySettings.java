package org.micabarrow.settings;

import java.util.List;

/**
 * The settings of an entry.
 *
 * @param instance the instance it runs on
 * @param listen the addresses on which it listens
 * @param platform the addresses of the platform's services
 * @param operators the operators who may plan and confirm
 * @param links the link bandwidths, for planning
 * @param limits the resource limits
 * @param peers the timing of communication with agents
 * @param log the logging configuration
 * @param tls the TLS configuration
 */
public record EntrySettings(
        Common.Place instance,
        Listen listen,
        Common.Platform platform,
        List<Operator> operators,
        Common.LinkRates links,
        Limits limits,
        Peers peers,
        Common.Logging log,
        Common.Security tls) {

    /**
     * The addresses on which an entry listens, each as host and port.
     *
     * @param callers for callers
     * @param operators for operators, metrics and health
     * @param peers for the system's own processes
     */
    public record Listen(String callers, String operators, String peers) {}

    /**
     * An operator who may plan and confirm.
     *
     * @param name the name, for the log
     * @param tokenDigest the SHA-256 of the bearer token
     */
    public record Operator(String name, String tokenDigest) {}

    /**
     * Resource limits of an entry.
     *
     * @param bodyBytes the maximum size of a request body
     * @param headerBytes the maximum size of a request head
     * @param connections the maximum number of concurrent caller connections
     * @param idleMillis the idle timeout of a connection
     * @param deadlineMillis the default deadline of a request
     * @param claimMillis the timeout for appending a claim to the log
     * @param claimKeptMillis how long an idempotency key is remembered
     * @param claimStreams the number of log streams that claims are distributed over
     * @param retryShare the retry budget as retries per request
     */
    public record Limits(
            int bodyBytes,
            int headerBytes,
            int connections,
            int idleMillis,
            long deadlineMillis,
            long claimMillis,
            long claimKeptMillis,
            int claimStreams,
            double retryShare) {}

    /**
     * Timing of an entry's communication.
     *
     * @param statusMillis the status polling interval per agent
     * @param unreachableMillis the time without contact after which an agent gets no requests
     * @param listMillis the polling interval of the instance list
     * @param repairMillis the delay until a lost replica is replaced
     * @param checkpointMillis the interval between checkpoints of the folded state in the log
     * @param agentsPerPlacement the maximum number of replicas per placement that it uses
     */
    public record Peers(
            long statusMillis,
            long unreachableMillis,
            long listMillis,
            long repairMillis,
            long checkpointMillis,
            int agentsPerPlacement) {}
}
