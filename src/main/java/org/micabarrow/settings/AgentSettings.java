package org.micabarrow.settings;

/**
 * The settings of an agent.
 *
 * @param instance the instance it runs on
 * @param listen the addresses on which it listens
 * @param platform the addresses of the platform's services
 * @param endpoint the endpoint on its instance
 * @param links the link bandwidths
 * @param weights the configuration of weight transfers
 * @param limits the resource limits
 * @param log the logging configuration
 * @param tls the TLS configuration
 */
public record AgentSettings(
        Common.Place instance,
        Listen listen,
        Common.Platform platform,
        EndpointAddress endpoint,
        Common.LinkRates links,
        Weights weights,
        Limits limits,
        Common.Logging log,
        Common.Security tls) {

    /**
     * The addresses on which an agent listens, each as host and port.
     *
     * @param operators for metrics and health
     * @param peers for the system's own processes
     */
    public record Listen(String operators, String peers) {}

    /**
     * The endpoint on an agent's instance.
     *
     * @param kind {@code engine} or {@code service}
     * @param url its base address
     * @param reportMillis the polling interval of its report
     */
    public record EndpointAddress(String kind, String url, long reportMillis) {}

    /**
     * Configuration of weight transfers.
     *
     * @param windowBytes the maximum bytes of chunks that each transfer buffers for others
     * @param patienceMillis the time without a chunk after which its source counts as stalled
     * @param lingerMillis how long the chunks of a completed transfer are kept
     * @param budgetMillis the timeout for a grant of origin bytes from the log
     */
    public record Weights(long windowBytes, long patienceMillis, long lingerMillis, long budgetMillis) {}

    /**
     * Resource limits of an agent.
     *
     * @param leastConcurrency the minimum of the adaptive concurrency limit
     * @param mostConcurrency the maximum of the adaptive concurrency limit
     * @param ledgerKeys the maximum number of remembered keys of non-idempotent requests
     * @param ledgerBytes the maximum bytes of their stored answers
     * @param ledgerKeptMillis how long a key is remembered after its latest start
     * @param cutOffMillis the time without contact to the log after which the instance counts as cut off
     * @param stopMillis how long a planned shutdown waits for requests in progress
     */
    public record Limits(
            int leastConcurrency,
            int mostConcurrency,
            int ledgerKeys,
            long ledgerBytes,
            long ledgerKeptMillis,
            long cutOffMillis,
            long stopMillis) {}
}
