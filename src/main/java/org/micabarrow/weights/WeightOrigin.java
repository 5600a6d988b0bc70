package org.micabarrow.weights;

import java.util.List;
import org.micabarrow.state.Result;

/** Client for the origin, the primary source of weights. */
public interface WeightOrigin {

    /**
     * Requests the digests of a version's chunks.
     *
     * @param address the origin's address
     * @param model the model
     * @param version the version
     * @return the digests, in chunk order
     */
    Result<List<String>> digests(String address, String model, long version);

    /**
     * Requests a chunk.
     *
     * @param address the origin's address
     * @param model the model
     * @param version the version
     * @param index the chunk's index
     * @return its content, not verified
     */
    Result<byte[]> chunk(String address, String model, long version, int index);
}
