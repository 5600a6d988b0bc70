package org.micabarrow.bench;

import org.micabarrow.standin.EngineStandin;

/**
 * Configuration of a {@link LocalSystem}.
 *
 * @param originBytesPerSecond bandwidth of the origin's link
 * @param storeBytesPerSecond bandwidth of the store
 * @param instanceBytesPerSecond bandwidth of each instance's link
 * @param engine concurrency and latencies of the engines
 * @param chunkTimeoutMillis maximum wait for a chunk
 * @param windowBytes maximum bytes of chunks that an agent buffers
 * @param claimTimeoutMillis timeout for appending a claim to the log
 * @param repairDelayMillis delay until a lost replica is replaced
 * @param checkpointIntervalMillis interval between checkpoints
 * @param isolationTimeoutMillis time without contact after which an instance is treated as cut off
 */
public record LocalOptions(
        long originBytesPerSecond,
        long storeBytesPerSecond,
        long instanceBytesPerSecond,
        EngineStandin.Timing engine,
        long chunkTimeoutMillis,
        long windowBytes,
        long claimTimeoutMillis,
        long repairDelayMillis,
        long checkpointIntervalMillis,
        long isolationTimeoutMillis) {

    /**
     * Returns options for tests, with fast links and engines.
     *
     * @return the options
     */
    public static LocalOptions quick() {
        return new LocalOptions(
                64 << 20,
                64 << 20,
                32 << 20,
                new EngineStandin.Timing(16, 2, 1),
                1000,
                8 << 20,
                5000,
                500,
                600_000,
                600_000);
    }

    /**
     * Returns a copy with other bandwidths.
     *
     * @param origin bandwidth of the origin's link, in bytes per second
     * @param store bandwidth of the store, in bytes per second
     * @param instance bandwidth of each instance's link, in bytes per second
     * @return the options
     */
    public LocalOptions withLinks(long origin, long store, long instance) {
        return new LocalOptions(
                origin,
                store,
                instance,
                engine,
                chunkTimeoutMillis,
                windowBytes,
                claimTimeoutMillis,
                repairDelayMillis,
                checkpointIntervalMillis,
                isolationTimeoutMillis);
    }
}
