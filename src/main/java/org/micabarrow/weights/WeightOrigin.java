package org.micabarrow.weights;

import java.util.List;
import org.micabarrow.state.Result;

/** Where weights come from at first. */
public interface WeightOrigin {

    /**
     * The digests of a version's chunks.
     *
     * @param address whom to ask
     * @param model the model
     * @param version the version
     * @return the digests, in order
     */
    Result<List<String>> digests(String address, String model, long version);

    /**
     * A chunk.
     *
     * @param address whom to ask
     * @param model the model
     * @param version the version
     * @param index which chunk
     * @return its bytes, not checked
     */
    Result<byte[]> chunk(String address, String model, long version, int index);
}
