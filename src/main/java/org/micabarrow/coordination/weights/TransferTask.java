package org.micabarrow.coordination.weights;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * What a transfer brings, and how.
 *
 * @param artifact the manifest's digest
 * @param bytes the artifact's size
 * @param sources the sources, the best first
 * @param afterStall the sources in the order that holds after a stall
 * @param fed whether the plan feeds this instance one copy from the origin
 * @param follower the instance that is likely to read from this one
 * @param windowBytes how many bytes of chunks to hold
 * @param patience the longest wait for a chunk before the source counts as stalled
 */
public record TransferTask(
        String artifact,
        long bytes,
        List<Source> sources,
        List<Source> afterStall,
        boolean fed,
        Optional<String> follower,
        long windowBytes,
        Duration patience) {

    /** Copies the lists. */
    public TransferTask {
        Objects.requireNonNull(artifact, "artifact is null");
        sources = List.copyOf(sources);
        afterStall = List.copyOf(afterStall);
    }
}
