package org.micabarrow.settings;

import java.util.List;

/**
 * The settings of an entry.
 *
 * @param instance where it runs
 * @param listen the addresses on which it listens
 * @param platform where the platform's services are
 * @param operators who may plan and confirm
 * @param links what the links carry, for plans
 * @param limits what it bears
 * @param peers how it keeps in touch with agents
 * @param log how it logs
 * @param tls transport security
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
     * Someone who may plan and confirm.
     *
     * @param name the name, for the log
     * @param tokenDigest the SHA-256 of the bearer token
     */
    public record Operator(String name, String tokenDigest) {}

    /**
     * What an entry bears.
     *
     * @param bodyBytes the greatest body of a request
     * @param headerBytes the greatest head of a request
     * @param connections the most connections of callers at once
     * @param idleMillis how long a connection may be silent
     * @param deadlineMillis the deadline of a request that states none
     * @param claimMillis how long the log may take for a claim
     * @param claimKeptMillis how long an idempotency key is remembered
     * @param claimStreams over how many streams of the log claims are spread
     * @param retryShare retries allowed for each request
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
     * How an entry keeps in touch.
     *
     * @param statusMillis how often it asks each agent for its status
     * @param unreachableMillis after how long a silent agent gets no requests
     * @param listMillis how often it reads the list of instances
     * @param repairMillis after how long a lost replica is replaced
     * @param checkpointMillis how often the folded state is written to the log again
     * @param agentsPerPlacement how many replicas of each placement it uses
     */
    public record Peers(
            long statusMillis,
            long unreachableMillis,
            long listMillis,
            long repairMillis,
            long checkpointMillis,
            int agentsPerPlacement) {}
}
