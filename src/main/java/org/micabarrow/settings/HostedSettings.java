package org.micabarrow.settings;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Settings of a process on the users' platform, which generates them from a template in this project.
 *
 * @param instance the instance the process runs on
 * @param regions the region of each data hall
 * @param listen the listening addresses
 * @param peerPort the port on which agents listen for other processes, the same on every instance
 * @param seeds addresses of entries that may be stale
 * @param store the host and port of the platform's store
 * @param endpoint the host and port of the endpoint on the agent's instance; agents only
 * @param service the service of that endpoint
 * @param linkBitsPerSecond the bandwidth of the instance's link, per direction
 * @param memoryMegabytes the memory of the instance; empty if not stated
 * @param bounds the limits set by the users
 * @param log the logging configuration
 */
public record HostedSettings(
        Common.Place instance,
        Map<String, String> regions,
        Listen listen,
        int peerPort,
        List<String> seeds,
        String store,
        Optional<String> endpoint,
        Optional<String> service,
        double linkBitsPerSecond,
        OptionalLong memoryMegabytes,
        Bounds bounds,
        Common.Logging log) {

    /**
     * Listening addresses of a process.
     *
     * @param clients for clients' requests; entries only
     * @param ready for readiness checks; entries only
     * @param peers for other processes of the system
     * @param metrics for metrics
     */
    public record Listen(Optional<String> clients, Optional<String> ready, String peers, String metrics) {}

    /**
     * Limits set by the users.
     *
     * @param versionMillis the time after the publication of a weight version during which older versions may answer
     * @param configurationMillis the time after the publication of a manifest within which it must be in force
     *     everywhere
     * @param drainMillis the time after an endpoint announced draining during which it may still get requests
     * @param graceMillis the time after SIGTERM at which a process is killed
     * @param retryShare the retry budget as retries per request
     * @param retrySlack the maximum retries that all entries together may accumulate
     * @param crashMemoryMillis how long an endpoint crash is remembered, and how long a request that caused crashes is
     *     refused after the last one
     * @param crashesKept the maximum number of crashes remembered
     * @param evacuateMillis the time after the evacuation of a data hall during which its endpoints may still get
     *     requests; empty if the users evacuate none
     */
    public record Bounds(
            long versionMillis,
            long configurationMillis,
            long drainMillis,
            long graceMillis,
            double retryShare,
            double retrySlack,
            long crashMemoryMillis,
            int crashesKept,
            OptionalLong evacuateMillis) {

        /**
         * Returns the time within which any operator record must be in force everywhere.
         *
         * @return milliseconds
         */
        public long operatorMillis() {
            return Math.min(configurationMillis, evacuateMillis.orElse(configurationMillis));
        }
    }
}
