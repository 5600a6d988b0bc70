package org.micabarrow.routing;

import java.util.Objects;
import java.util.Optional;

/**
 * Predicts whether a request fits into the key-value memory of an endpoint. An endpoint whose memory runs out drops its
 * newest request and reads it again later. Not thread-safe: confined to one thread.
 */
public final class EndpointMemory {

    /** Fraction of the memory that is kept for requests of other entries since the last report. */
    private static final double RESERVE_FRACTION = 0.05;

    /** The part of its answer that a running request is still to write, on average. */
    private static final double ANSWER_LEFT_FRACTION = 0.5;

    /** Weight of the newest request in the mean length of answers. */
    private static final double NEWEST_WEIGHT = 0.1;

    private long ownTokens;
    private long ownTokensWhenReported;
    private long unreadTokensWhenReported;
    private double meanAnswerTokens;
    private Optional<EndpointCondition> condition = Optional.empty();

    /**
     * Records that a request was sent to the endpoint.
     *
     * @param size its size, with the expected answer
     */
    public void sent(RequestSize size) {
        ownTokens += tokens(size);
        meanAnswerTokens += NEWEST_WEIGHT * (size.expectedAnswerTokens() - meanAnswerTokens);
    }

    /**
     * Records that a request ended.
     *
     * @param size the size that it was sent with
     */
    public void ended(RequestSize size) {
        ownTokens -= tokens(size);
    }

    /**
     * Records a report of the endpoint's agent.
     *
     * @param reported the endpoint's condition; empty if not reported
     * @param unreadTokens the prompt tokens of all requests whose responses have not begun
     */
    void reported(Optional<EndpointCondition> reported, long unreadTokens) {
        condition = Objects.requireNonNull(reported, "reported is null");
        ownTokensWhenReported = ownTokens;
        unreadTokensWhenReported = unreadTokens;
    }

    /**
     * Returns whether a request fits beside the others at the endpoint until all have ended.
     *
     * @param size its size, with the expected answer
     * @param layers the layers of the model: memory is reported in tokens times layers
     * @return true also if the memory is not reported, is reported in numbers that cannot be, or holds nothing else
     */
    boolean fits(RequestSize size, int layers) {
        if (condition.isEmpty() || layers <= 0) {
            return true;
        }
        long total = condition.get().kvTotal().orElse(0) / layers;
        long used = condition.get().kvUsed().orElse(0) / layers;
        int present = (int)
                Math.min((long) condition.get().running() + condition.get().queued(), Integer.MAX_VALUE);
        long ownSince = ownTokens - ownTokensWhenReported;
        if (total == 0 || used > total || (present == 0 && ownSince <= 0)) {
            return true;
        }
        double toCome = unreadTokensWhenReported + present * ANSWER_LEFT_FRACTION * meanAnswerTokens;
        return used + toCome + ownSince + tokens(size) <= total * (1 - RESERVE_FRACTION);
    }

    private static long tokens(RequestSize size) {
        return (long) size.promptTokens() + size.expectedAnswerTokens();
    }
}
