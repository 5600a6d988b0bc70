package org.micabarrow.routing;

import java.util.Objects;
import java.util.OptionalDouble;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Predicts by which factor an endpoint takes longer than its model profile says. Combines the pace that it reports, the
 * steps of its streams, the first events of its responses and the rest of its cold start, each by its age and by how
 * far it has proved right. Without any of them the factor is 1. Not thread-safe: confined to one thread.
 */
public final class EndpointSpeed {

    private static final Logger LOG = LoggerFactory.getLogger(EndpointSpeed.class);

    /**
     * Upper bound of the factor's logarithm, so that no single observation or report excludes an endpoint for longer
     * than it is remembered.
     */
    private static final double MAX_LOG_FACTOR = 2;

    /** Factor at the beginning of a cold start, of which endpoints report the duration only. */
    private static final double COLD_FACTOR = 2;

    /** Longest accepted rest of a cold start, in milliseconds. */
    private static final long MAX_COLD_MILLIS = 60_000;

    /** Shortest time between two log lines about an endpoint, in milliseconds. */
    private static final long MIN_LOG_INTERVAL_MILLIS = 5_000;

    private final String endpoint;
    private final ReportedPace pace = new ReportedPace();
    private final StepPace steps = new StepPace();
    private final FirstEventError firstEvents = new FirstEventError();
    private long coldTotalMillis;
    private long coldUntilMillis;
    private SpeedClass loggedClass = SpeedClass.USUAL;
    private long loggedAtMillis = -MIN_LOG_INTERVAL_MILLIS;

    /** How slow an endpoint is, for the log. */
    public enum SpeedClass {
        /** Within what predictions allow for. */
        USUAL,
        /** So slow that requests go elsewhere while there is room. */
        SLOW,
        /** So slow that hardly any response begins in time. */
        VERY_SLOW;

        /** Factor from which on an endpoint is slow. */
        private static final double SLOW_FACTOR = 1.5;

        /** Factor from which on even an idle endpoint needs most of an objective. */
        private static final double VERY_SLOW_FACTOR = 4;

        static SpeedClass of(double factor) {
            return factor < SLOW_FACTOR ? USUAL : factor < VERY_SLOW_FACTOR ? SLOW : VERY_SLOW;
        }
    }

    /**
     * Creates the speed of an endpoint about which nothing is known.
     *
     * @param endpoint its id, for the log
     */
    public EndpointSpeed(String endpoint) {
        this.endpoint = Objects.requireNonNull(endpoint, "endpoint is null");
    }

    // -- observations

    /**
     * Records what the endpoint's agent reported.
     *
     * @param reported the pace; empty if not reported. A pace that no engine can have counts as not reported
     * @param nowMillis the time on the monotonic clock
     */
    public void reported(OptionalDouble reported, long nowMillis) {
        if (reported.isPresent() && reported.getAsDouble() > 0 && reported.getAsDouble() < EndpointCondition.MAX_PACE) {
            pace.reported(reported.getAsDouble(), MAX_LOG_FACTOR, nowMillis);
        } else {
            pace.absent();
        }
        logChange(nowMillis);
    }

    /**
     * Records the interval between two events of a stream.
     *
     * @param expectedMillis the duration of a pass of the engine without prompts
     * @param tookMillis the interval, for which the stream was read all the time
     * @param nowMillis the time on the monotonic clock
     */
    public void stepped(double expectedMillis, long tookMillis, long nowMillis) {
        steps.stepped(expectedMillis, tookMillis, nowMillis);
    }

    /**
     * Records the first event of a response.
     *
     * @param predictedMillis the predicted time from the attempt to the first event, the factor included
     * @param tookMillis the actual time
     * @param nowMillis the time on the monotonic clock
     */
    public void firstEvent(double predictedMillis, long tookMillis, long nowMillis) {
        double logError = Math.log(Math.max(1, tookMillis) / Math.max(1, predictedMillis));
        double logEngine = logEngineFactor(nowMillis);
        pace.observed(logError + firstEvents.logFactor(nowMillis), logEngine);
        firstEvents.observed(logError, -logEngine, MAX_LOG_FACTOR, nowMillis);
        logChange(nowMillis);
    }

    /**
     * Records how long the endpoint stays cold.
     *
     * @param leftMillis the remaining time in milliseconds; 0 if it is warm
     * @param nowMillis the time on the monotonic clock
     */
    public void coldFor(long leftMillis, long nowMillis) {
        long left = Math.clamp(leftMillis, 0, MAX_COLD_MILLIS);
        coldTotalMillis = left == 0 ? 0 : Math.max(coldTotalMillis, left);
        coldUntilMillis = nowMillis + left;
    }

    // -- prediction

    /**
     * Returns the factor by which first events are expected to take longer than the model profile predicts.
     *
     * @param nowMillis the time on the monotonic clock
     * @return at least 1
     */
    public double factor(long nowMillis) {
        return Math.exp(Math.clamp(logEngineFactor(nowMillis) + firstEvents.logFactor(nowMillis), 0, MAX_LOG_FACTOR));
    }

    /**
     * Returns the factor by which the engine is slow by its own report, its steps and its cold start. Unlike
     * {@link #factor} it says nothing about links and queues, so that a free slot may be denied by it: another engine
     * is likely to be faster.
     *
     * @param nowMillis the time on the monotonic clock
     * @return at least 1
     */
    public double engineFactor(long nowMillis) {
        return Math.exp(logEngineFactor(nowMillis));
    }

    private double logEngineFactor(long nowMillis) {
        if (coldTotalMillis == 0 && pace.logFactor() == 0 && steps.logFactor(MAX_LOG_FACTOR) == 0) {
            return 0;
        }
        double paceConfidence = pace.confidence(nowMillis);
        double stepConfidence = steps.confidence(nowMillis);
        double total = paceConfidence + stepConfidence;
        double weighted = paceConfidence * paceConfidence * pace.logFactor()
                + stepConfidence * stepConfidence * steps.logFactor(MAX_LOG_FACTOR);
        double logMeasured = total > 0 ? weighted / total : 0;
        return Math.max(logMeasured, Math.log(coldFactor(nowMillis)));
    }

    /** The factor of the cold start: it falls evenly until the endpoint is warm. */
    private double coldFactor(long nowMillis) {
        if (coldTotalMillis == 0) {
            return 1;
        }
        double left = Math.clamp((double) (coldUntilMillis - nowMillis) / coldTotalMillis, 0, 1);
        return 1 + (COLD_FACTOR - 1) * left;
    }

    // -- log

    /** Logs that the endpoint has become slower or faster, at most once per interval. */
    private void logChange(long nowMillis) {
        SpeedClass now = SpeedClass.of(factor(nowMillis));
        if (now != loggedClass && nowMillis - loggedAtMillis >= MIN_LOG_INTERVAL_MILLIS) {
            LOG.info(
                    "event=endpoint_speed endpoint={} speed={} before={} factor={} pace={} steps={} firstEvents={}",
                    endpoint,
                    now,
                    loggedClass,
                    rounded(factor(nowMillis)),
                    rounded(Math.exp(pace.logFactor() * pace.confidence(nowMillis))),
                    rounded(Math.exp(steps.logFactor(MAX_LOG_FACTOR) * steps.confidence(nowMillis))),
                    rounded(Math.exp(firstEvents.logFactor(nowMillis))));
            loggedClass = now;
            loggedAtMillis = nowMillis;
        }
    }

    private static double rounded(double factor) {
        return Math.round(factor * 10) / 10.0;
    }
}
