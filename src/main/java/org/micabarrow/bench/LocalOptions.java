package org.micabarrow.bench;

import org.micabarrow.standin.EngineStandin;

/**
 * How a {@link LocalSystem} is set up.
 *
 * @param originRate bytes a second of the origin's link
 * @param storeRate bytes a second of the store
 * @param instanceRate bytes a second of each instance's link
 * @param engine how fast engines are
 * @param patienceMillis the longest wait for a chunk
 * @param windowBytes how many bytes of chunks an agent holds
 * @param claimMillis how long the log may take for a claim
 * @param repairMillis after how long a lost replica is replaced
 * @param checkpointMillis how often checkpoints are written
 * @param cutOffMillis after how long an instance counts as cut off
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
     * Options for tests: quick links and engines.
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
     * The same with other links.
     *
     * @param origin bytes a second of the origin's link
     * @param store bytes a second of the store
     * @param instance bytes a second of each instance's link
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
