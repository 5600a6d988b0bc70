package org.micabarrow.coordination.claims;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Claims keys on the log. */
public interface ClaimWriter {

    /**
     * Claims a key.
     *
     * @param claim the claim
     * @param within how long to wait for the log
     * @return who holds the key
     */
    CompletableFuture<ClaimVerdict> claim(Claim claim, Duration within);
}
