package org.micabarrow.settings;

/**
 * The settings of an agent.
 *
 * @param instance where it runs
 * @param listen the addresses on which it listens
 * @param platform where the platform's services are
 * @param endpoint the endpoint beside it
 * @param links what the links carry
 * @param weights how it moves weights
 * @param limits what it bears
 * @param log how it logs
 * @param tls transport security
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
     * The endpoint beside an agent.
     *
     * @param kind {@code engine} or {@code service}
     * @param url its base address
     * @param reportMillis how often it is asked for a report
     */
    public record EndpointAddress(String kind, String url, long reportMillis) {}

    /**
     * How weights are moved.
     *
     * @param windowBytes how many bytes of chunks each transfer holds for others
     * @param patienceMillis the longest wait for a chunk before its source counts as stalled
     * @param lingerMillis how long a finished transfer's chunks are held
     * @param budgetMillis how long the log may take to grant bytes from the origin
     */
    public record Weights(long windowBytes, long patienceMillis, long lingerMillis, long budgetMillis) {}

    /**
     * What an agent bears.
     *
     * @param leastConcurrency the learned limit of requests at once never falls below this
     * @param mostConcurrency it never rises above this
     * @param ledgerKeys how many keys of requests that may not be repeated are remembered
     * @param ledgerBytes how many bytes of their answers are kept
     * @param ledgerKeptMillis how long a key is remembered after its latest start
     * @param cutOffMillis after how long without a word of the log the instance counts as cut off
     * @param stopMillis how long a planned stop waits for requests in progress
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
