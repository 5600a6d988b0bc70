package org.micabarrow.coordination.weights;

import java.time.Duration;
import org.micabarrow.state.Manifest;
import org.micabarrow.state.Result;

/** Reads weights from peers, the store and the origin. */
public interface Weights {

    /**
     * Reads a manifest and checks it against its digest.
     *
     * @param artifact the manifest's digest
     * @return the manifest
     */
    Result<Manifest> manifest(String artifact);

    /**
     * Opens a stream of chunks.
     *
     * @param source where from
     * @param artifact the manifest's digest
     * @param from the first chunk wanted
     * @param to the index after the last chunk wanted
     * @return the stream; a source that cannot be reached shows at the first read
     */
    Feed open(Source source, String artifact, int from, int to);

    /**
     * How long a receiver waits for a chunk.
     *
     * @param silence how long it bears to hear nothing
     * @param waiting how long it bears to hear that the source waits for its own source
     */
    record Patience(Duration silence, Duration waiting) {}

    /** A stream of chunks in order. */
    interface Feed extends AutoCloseable {

        /**
         * Reads the next chunk.
         *
         * @param patience how long to wait for it
         * @return the bytes, unchecked
         */
        Result<byte[]> next(Patience patience);

        @Override
        void close();
    }
}
