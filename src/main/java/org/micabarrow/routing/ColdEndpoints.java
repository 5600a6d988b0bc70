package org.micabarrow.routing;

import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The endpoints that are cold: just started, or otherwise unable to bear their usual load for a while. An endpoint
 * states how much longer it stays cold. The statement may be older than it seems, so the time is counted from when it
 * is received, and no other statement ends it earlier. Thread-safe.
 */
public final class ColdEndpoints {

    private static final Logger LOG = LoggerFactory.getLogger(ColdEndpoints.class);

    private final Function<String, OptionalDouble> perSecond;
    private final Map<EndpointStart, Long> untilMillis = new ConcurrentHashMap<>();

    /**
     * Creates an instance without cold endpoints.
     *
     * @param perSecond returns the requests per second that a cold endpoint of a service bears from all entries
     *     together; empty if it bears as many as a warm one
     */
    public ColdEndpoints(Function<String, OptionalDouble> perSecond) {
        this.perSecond = Objects.requireNonNull(perSecond, "perSecond is null");
    }

    /**
     * Creates an instance for a deployment whose endpoints bear as many requests when cold as when warm.
     *
     * @return the instance
     */
    public static ColdEndpoints unlimited() {
        return new ColdEndpoints(service -> OptionalDouble.empty());
    }

    /**
     * Records the statement of an endpoint.
     *
     * @param endpoint the endpoint's start
     * @param leftMillis how much longer it stays cold, in milliseconds; 0 or less if it is warm
     * @param source where it states so, for the log
     * @param nowMillis the time on the monotonic clock
     */
    public void stated(EndpointStart endpoint, long leftMillis, String source, long nowMillis) {
        if (leftMillis <= 0) {
            return;
        }
        untilMillis.values().removeIf(until -> until <= nowMillis);
        boolean wasCold = untilMillis.containsKey(endpoint);
        untilMillis.merge(endpoint, nowMillis + leftMillis, Math::max);
        if (!wasCold) {
            LOG.info("event=endpoint_cold endpoint={} leftMs={} from={}", endpoint.id(), leftMillis, source);
        }
    }

    /**
     * Returns what an endpoint bears now.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time on the monotonic clock
     * @return requests per second from all entries together; empty while it is warm, and if its service sets no limit
     */
    public OptionalDouble perSecond(EndpointRegistration endpoint, long nowMillis) {
        return leftMillis(endpoint.start(), nowMillis) > 0
                ? perSecond.apply(endpoint.service())
                : OptionalDouble.empty();
    }

    /**
     * Returns how much longer an endpoint is taken as cold.
     *
     * @param endpoint the endpoint's start
     * @param nowMillis the time on the monotonic clock
     * @return milliseconds; 0 if it is warm
     */
    public long leftMillis(EndpointStart endpoint, long nowMillis) {
        if (untilMillis.isEmpty()) {
            return 0;
        }
        Long until = untilMillis.get(endpoint);
        return until == null ? 0 : Math.max(0, until - nowMillis);
    }

    /**
     * Returns the number of cold endpoints.
     *
     * @param nowMillis the time on the monotonic clock
     * @return those whose cold time has not ended
     */
    public int count(long nowMillis) {
        return (int)
                untilMillis.values().stream().filter(until -> until > nowMillis).count();
    }
}
