package org.micabarrow.clock;

/**
 * Tells until when this process has handled what others sent it. A process that was paused finds on its return what
 * arrived meanwhile, and cannot tell from the moment of reading it when it was sent. Thread-safe.
 *
 * <pre>{@code
 * PauseMonitor monitor = new PauseMonitor(150, MonotonicClock.millis());
 * RepeatedTasks.start("pauses", 50, () -> monitor.tick(MonotonicClock.millis()));
 * long handledUntil = monitor.attentiveUntil(MonotonicClock.millis());
 * }</pre>
 */
public final class PauseMonitor {

    private final long maxGapMillis;
    private long lastTickMillis;
    private long resumedAtMillis;
    private long attentiveUntilMillis;

    /**
     * Creates a monitor of a process that has just started.
     *
     * @param maxGapMillis the longest time between two ticks that is not a pause, in milliseconds; for as long after a
     *     pause, what arrived during it may not have been handled
     * @param nowMillis the time on a monotonic clock
     */
    public PauseMonitor(long maxGapMillis, long nowMillis) {
        if (maxGapMillis <= 0) {
            throw new IllegalArgumentException("maxGapMillis is " + maxGapMillis + ", must be positive");
        }
        this.maxGapMillis = maxGapMillis;
        this.lastTickMillis = nowMillis;
        this.resumedAtMillis = nowMillis - maxGapMillis;
        this.attentiveUntilMillis = nowMillis;
    }

    /**
     * Records that the process runs.
     *
     * @param nowMillis the time on the monotonic clock
     * @return the time since the previous tick, in milliseconds
     */
    public synchronized long tick(long nowMillis) {
        long gapMillis = nowMillis - lastTickMillis;
        if (gapMillis > maxGapMillis) {
            resumedAtMillis = nowMillis;
        } else if (nowMillis - resumedAtMillis >= maxGapMillis) {
            attentiveUntilMillis = nowMillis;
        }
        lastTickMillis = nowMillis;
        return gapMillis;
    }

    /**
     * The time until which this process has handled what reached it.
     *
     * @param nowMillis the time on the monotonic clock
     * @return the given time; while a pause is not over or has only just ended, the last tick before it
     */
    public synchronized long attentiveUntil(long nowMillis) {
        boolean paused = nowMillis - lastTickMillis > maxGapMillis;
        boolean justResumed = nowMillis - resumedAtMillis < maxGapMillis;
        return paused || justResumed ? attentiveUntilMillis : nowMillis;
    }
}
