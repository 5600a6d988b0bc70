package org.micabarrow.crashes;

import java.util.Objects;

/** An update by which processes inform each other of crashes. */
public sealed interface CrashUpdate {

    /**
     * An endpoint crashed.
     *
     * @param crash the crash, as far as the sending process knows it
     */
    record Crashed(EndpointCrash crash) implements CrashUpdate {

        public Crashed {
            Objects.requireNonNull(crash, "crash is null");
        }
    }

    /**
     * A suspected cause did not crash the endpoint that responded to a request with it.
     *
     * @param cause the cause
     * @param whole whether the response arrived completely; if not, only part of it did
     */
    record Cleared(Cause cause, boolean whole) implements CrashUpdate {

        public Cleared {
            Objects.requireNonNull(cause, "cause is null");
        }
    }
}
