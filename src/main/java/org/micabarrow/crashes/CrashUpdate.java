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
     * A suspected request did not crash the endpoint that ran it.
     *
     * @param request the request
     * @param whole whether its response arrived completely; if not, only part of it did
     */
    record Cleared(RequestDigest request, boolean whole) implements CrashUpdate {

        public Cleared {
            Objects.requireNonNull(request, "request is null");
        }
    }
}
