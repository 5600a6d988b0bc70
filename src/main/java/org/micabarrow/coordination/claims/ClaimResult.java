package org.micabarrow.coordination.claims;

import java.util.Objects;
import org.micabarrow.state.Fault;

/** The result of a claim: which claim holds the key. */
public sealed interface ClaimResult {

    /** The claim holds its key; the process that it names may run the request. */
    record Won() implements ClaimResult {}

    /**
     * Another claim holds the key.
     *
     * @param holder the claim that holds it
     * @param ageMillis the time since this process read that claim, in milliseconds
     */
    record Held(Claim holder, long ageMillis) implements ClaimResult {

        /** Validates the components. */
        public Held {
            Objects.requireNonNull(holder, "holder is null");
        }
    }

    /**
     * The claim did not appear in the log in time; no request may run under it.
     *
     * @param fault the reason
     */
    record Failed(Fault fault) implements ClaimResult {

        /** Validates the components. */
        public Failed {
            Objects.requireNonNull(fault, "fault is null");
        }
    }
}
