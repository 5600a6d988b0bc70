package org.micabarrow.coordination.agents;

import org.micabarrow.coordination.weights.ChunkWindow;

/** What an instance holds of an artifact for others. */
public sealed interface Holding {

    /**
     * Chunks that can be read.
     *
     * @param window the chunks
     */
    record Held(ChunkWindow window) implements Holding {}

    /** Nothing yet, but a transfer is about to begin. */
    record Coming() implements Holding {}

    /** Nothing, and nothing will come. */
    record Nothing() implements Holding {}
}
