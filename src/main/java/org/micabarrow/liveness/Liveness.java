package org.micabarrow.liveness;

import java.util.Objects;

/** Whether one start of an endpoint ran after a moment in the past. */
public sealed interface Liveness {

    /**
     * Returns what the result is based on.
     *
     * @return a description for the log
     */
    String evidence();

    /**
     * The start ran after that moment, as far as can be told.
     *
     * @param evidence what shows it
     */
    record Running(String evidence) implements Liveness {

        /** Checks that the evidence is not null. */
        public Running {
            Objects.requireNonNull(evidence, "evidence is null");
        }
    }

    /**
     * The start has ended.
     *
     * @param evidence what shows it
     */
    record Ended(String evidence) implements Liveness {

        /** Checks that the evidence is not null. */
        public Ended {
            Objects.requireNonNull(evidence, "evidence is null");
        }
    }

    /**
     * Neither is known: the endpoint's instance was not reached in time.
     *
     * @param evidence what was tried
     */
    record Unconfirmed(String evidence) implements Liveness {

        /** Checks that the evidence is not null. */
        public Unconfirmed {
            Objects.requireNonNull(evidence, "evidence is null");
        }
    }
}
