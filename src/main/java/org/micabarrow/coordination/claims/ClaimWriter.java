package org.micabarrow.coordination.claims;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Claims keys in the log. */
public interface ClaimWriter {

    /**
     * Claims a key for an attempt.
     *
     * @param claim the claim
     * @param timeout how long to wait for the claim to appear in the log
     * @return the result of the claim
     */
    CompletableFuture<ClaimResult> claim(Claim claim, Duration timeout);
}
