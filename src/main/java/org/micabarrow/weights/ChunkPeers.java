package org.micabarrow.weights;

import java.util.BitSet;
import java.util.List;
import org.micabarrow.state.Result;

/** Client for the chunks that other agents hold. */
public interface ChunkPeers {

    /**
     * A chunk with its index.
     *
     * @param index the chunk's index
     * @param bytes its content, not verified
     */
    record IndexedChunk(int index, byte[] bytes) {}

    /**
     * Requests the digests of a version's chunks.
     *
     * @param agent the agent's address
     * @param model the model
     * @param version the version
     * @return the digests, in chunk order
     */
    Result<List<String>> digests(String agent, String model, long version);

    /**
     * Requests any one of some chunks. The agent delays its response for a while until it has one of them.
     *
     * @param agent the agent's address
     * @param model the model
     * @param version the version
     * @param wanted the indexes of the wanted chunks
     * @return a chunk; {@code NOT_READY} if the agent is still fetching them or only its connection broke, {@code
     *     NOT_FOUND} if it has not started to fetch the version
     */
    Result<IndexedChunk> fetchAnyOf(String agent, String model, long version, BitSet wanted);
}
