package org.micabarrow.settings;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The settings of a process on the users' platform, which fills them into a template of ours.
 *
 * @param instance where the process runs
 * @param regions the region of each data hall
 * @param listen where it listens
 * @param peerPort the port at which agents listen for other processes, the same on every instance
 * @param seeds addresses of entries that may be stale
 * @param store the host and port of the platform's store
 * @param endpoint the host and port of the endpoint beside an agent
 * @param service the service of that endpoint
 * @param linkBitsPerSecond what the instance's link carries, in either direction
 * @param memoryMegabytes the memory of the instance; empty if not stated
 * @param bounds what the users allow
 * @param log how it logs
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
     * Where a process listens.
     *
     * @param clients for clients' requests; entries only
     * @param ready for the question whether it takes requests; entries only
     * @param peers for other processes of the system
     * @param metrics for figures
     */
    public record Listen(Optional<String> clients, Optional<String> ready, String peers, String metrics) {}

    /**
     * What the users allow.
     *
     * @param versionMillis how long after a weight version was named older ones may answer
     * @param configurationMillis how long after a manifest was set it must be in force everywhere
     * @param drainMillis how long after an endpoint said that it leaves it may still get requests
     * @param graceMillis how long after SIGTERM a process is killed
     * @param retryShare repeats allowed for each request
     * @param retrySlack repeats that all entries together may save up
     * @param crashMemoryMillis how long a crash of an endpoint is remembered, and a request that caused some refused after its last
     * @param crashesKept how many crashes are remembered at the most
     * @param evacuateMillis how long after the evacuation of a data hall its endpoints may still get requests; empty if the users
     *     evacuate none
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
         * How long after an operator wrote something it must be in force everywhere, whatever it is.
         *
         * @return milliseconds
         */
        public long operatorMillis() {
            return Math.min(configurationMillis, evacuateMillis.orElse(configurationMillis));
        }
    }
}
