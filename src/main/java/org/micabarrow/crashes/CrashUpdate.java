package org.micabarrow.crashes;

import java.util.Objects;

/** What processes tell each other of crashes. */
public sealed interface CrashUpdate {

    /**
     * An endpoint crashed.
     *
     * @param crash the crash, as far as one process knows it
     */
    record Crashed(EndpointCrash crash) implements CrashUpdate {

        /** Checks that nothing is missing. */
        public Crashed {
            Objects.requireNonNull(crash, "crash is null");
        }
    }

    /**
     * A suspected request did not end the endpoint that ran it.
     *
     * @param request the request
     * @param whole whether its answer came whole, else a part of it
     */
    record Cleared(RequestDigest request, boolean whole) implements CrashUpdate {

        /** Checks that nothing is missing. */
        public Cleared {
            Objects.requireNonNull(request, "request is null");
        }
    }
}
