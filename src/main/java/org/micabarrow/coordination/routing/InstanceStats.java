package org.micabarrow.coordination.routing;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An entry's own measurements of each instance: requests in flight, time to first byte and consecutive failures.
 * Updated by the threads that carry requests, read by the router.
 */
public final class InstanceStats {

    /** The weight of the newest response in the moving average of the time to first byte. */
    private static final double SMOOTHING_FACTOR = 0.2;

    /** How long an instance counts as full after it refused a request for lack of a free slot, in milliseconds. */
    private static final long FULL_MILLIS = 25;

    /** The number of consecutive failures after which an instance is ejected. */
    private static final int FAILURES_TO_EJECT = 3;

    /** The duration of the first ejection, in milliseconds; each further one takes twice as long. */
    private static final long FIRST_EJECTION_MILLIS = 2_000;

    /** The maximum duration of an ejection, in milliseconds. */
    private static final long MAX_EJECTION_MILLIS = 30_000;

    private final Map<String, Measurements> measurements = new ConcurrentHashMap<>();

    /** The measurements of one instance. */
    private static final class Measurements {
        private final AtomicInteger inFlight = new AtomicInteger();
        private volatile double firstByteMillis;
        private int consecutiveFailures;
        private int ejections;
        private volatile long ejectedUntilMillis;
        private volatile long fullUntilMillis;
    }

    private Measurements of(String instance) {
        return measurements.computeIfAbsent(instance, key -> new Measurements());
    }

    /**
     * Records that a request was sent to an instance.
     *
     * @param instance the instance
     */
    public void requestSent(String instance) {
        of(instance).inFlight.incrementAndGet();
    }

    /**
     * Records that a request at an instance has ended.
     *
     * @param instance the instance
     */
    public void requestEnded(String instance) {
        of(instance).inFlight.decrementAndGet();
    }

    /**
     * Records the time to first byte of a response. Clears the failures and ejections counted so far.
     *
     * @param instance the instance
     * @param millis the time since the request was sent, in milliseconds
     */
    public void firstByteReceived(String instance, long millis) {
        Measurements measured = of(instance);
        synchronized (measured) {
            measured.consecutiveFailures = 0;
            measured.ejections = 0;
            double previous = measured.firstByteMillis;
            measured.firstByteMillis =
                    previous == 0 ? millis : previous * (1 - SMOOTHING_FACTOR) + millis * SMOOTHING_FACTOR;
        }
    }

    /**
     * Records that a request at an instance failed. Consecutive failures eject the instance for a while.
     *
     * @param instance the instance
     * @param nowMillis the current time
     */
    public void requestFailed(String instance, long nowMillis) {
        Measurements measured = of(instance);
        synchronized (measured) {
            measured.consecutiveFailures++;
            if (measured.consecutiveFailures >= FAILURES_TO_EJECT) {
                long millis = FIRST_EJECTION_MILLIS << Math.min(measured.ejections, 10);
                measured.ejectedUntilMillis = nowMillis + Math.min(MAX_EJECTION_MILLIS, millis);
                measured.ejections++;
                measured.consecutiveFailures = 0;
            }
        }
    }

    /**
     * The requests of this entry in flight at an instance.
     *
     * @param instance the instance
     * @return their number
     */
    public int inFlight(String instance) {
        Measurements measured = measurements.get(instance);
        return measured == null ? 0 : measured.inFlight.get();
    }

    /**
     * The moving average of the time to first byte.
     *
     * @param instance the instance
     * @return milliseconds, 0 if nothing has been measured yet
     */
    public double firstByteMillis(String instance) {
        Measurements measured = measurements.get(instance);
        return measured == null ? 0 : measured.firstByteMillis;
    }

    /**
     * Whether an instance is ejected because of its failures.
     *
     * @param instance the instance
     * @param nowMillis the current time
     * @return true while it is ejected
     */
    public boolean isEjected(String instance, long nowMillis) {
        Measurements measured = measurements.get(instance);
        return measured != null && measured.ejectedUntilMillis > nowMillis;
    }

    /**
     * Records that an instance refused a request because it was full.
     *
     * @param instance the instance
     * @param nowMillis the current time
     */
    public void markFull(String instance, long nowMillis) {
        of(instance).fullUntilMillis = nowMillis + FULL_MILLIS;
    }

    /**
     * Whether an instance has recently refused a request because it was full.
     *
     * @param instance the instance
     * @param nowMillis the current time
     * @return true for a short while after {@link #markFull}
     */
    public boolean isFull(String instance, long nowMillis) {
        Measurements measured = measurements.get(instance);
        return measured != null && measured.fullUntilMillis > nowMillis;
    }
}
