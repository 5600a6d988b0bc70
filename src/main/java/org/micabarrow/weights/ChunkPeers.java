package org.micabarrow.weights;

import java.util.BitSet;
import java.util.List;
import org.micabarrow.state.Result;

/** Other agents, as givers of chunks. */
public interface ChunkPeers {

    /**
     * A chunk with its number.
     *
     * @param index which chunk
     * @param bytes its bytes, not checked
     */
    record Numbered(int index, byte[] bytes) {}

    /**
     * The digests of a version's chunks.
     *
     * @param agent whom to ask
     * @param model the model
     * @param version the version
     * @return the digests, in order
     */
    Result<List<String>> digests(String agent, String model, long version);

    /**
     * Any one of some chunks. The agent holds the question for a while until it has one of them.
     *
     * @param agent whom to ask
     * @param model the model
     * @param version the version
     * @param wanted which chunks are wanted
     * @return a chunk; {@code NOT_READY} if the agent is still fetching them or only its connection broke, {@code NOT_FOUND}
     *     if it has not begun to
     */
    Result<Numbered> anyOf(String agent, String model, long version, BitSet wanted);
}
