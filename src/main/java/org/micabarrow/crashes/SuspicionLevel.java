package org.micabarrow.crashes;

/** What is held of a request for the crashes of endpoints at which it was. */
public sealed interface SuspicionLevel {

    /** It was at none, or has been answered since. */
    record Unsuspected() implements SuspicionLevel {}

    /**
     * It was at some, and may have caused them.
     *
     * @param crashes how many
     */
    record Suspected(int crashes) implements SuspicionLevel {}

    /**
     * It caused them, as far as can be told.
     *
     * @param crashes how many
     * @param forMillis for how long it is refused from now on
     */
    record Refused(int crashes, long forMillis) implements SuspicionLevel {}
}
