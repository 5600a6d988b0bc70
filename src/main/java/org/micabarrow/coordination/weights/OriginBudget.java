package org.micabarrow.coordination.weights;

import org.micabarrow.state.Result;

/** Grants bytes from the origin, so that retries never multiply its traffic. */
public interface OriginBudget {

    /**
     * Asks for bytes. May block while the log is asked.
     *
     * @param bytes how many
     * @return how many were granted, or why none were
     */
    Result<Long> draw(long bytes);
}
