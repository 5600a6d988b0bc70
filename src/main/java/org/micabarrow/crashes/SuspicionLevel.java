package org.micabarrow.crashes;

/** How strongly a request is suspected of causing the endpoint crashes in which it was involved. */
public sealed interface SuspicionLevel {

    /** The request was involved in no crash, or has been answered since. */
    record Unsuspected() implements SuspicionLevel {}

    /**
     * The request was involved in crashes and may have caused them.
     *
     * @param crashes the number of crashes
     * @param untilReportedMillis the time until all processes know of the last of them, in milliseconds; 0 if they do
     */
    record Suspected(int crashes, long untilReportedMillis) implements SuspicionLevel {}

    /**
     * The request is considered a poison request.
     *
     * @param crashes the number of crashes attributed to it
     * @param forMillis how long it is refused from now on, in milliseconds
     */
    record Refused(int crashes, long forMillis) implements SuspicionLevel {}
}
