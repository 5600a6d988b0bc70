package org.micabarrow.coordination.claims;

import java.util.Objects;
import org.micabarrow.state.Fault;

/** Who holds a key after a claim. */
public sealed interface ClaimVerdict {

    /** The claim holds its key; the named process may run the request. */
    record Won() implements ClaimVerdict {}

    /**
     * Another claim holds the key.
     *
     * @param holder that claim
     * @param ageMillis how long ago this process saw it
     */
    record Held(Claim holder, long ageMillis) implements ClaimVerdict {

        /** Checks the part. */
        public Held {
            Objects.requireNonNull(holder, "holder is null");
        }
    }

    /**
     * The claim was not seen in the log in time; nothing may be run under it.
     *
     * @param fault why
     */
    record Failed(Fault fault) implements ClaimVerdict {

        /** Checks the part. */
        public Failed {
            Objects.requireNonNull(fault, "fault is null");
        }
    }
}
