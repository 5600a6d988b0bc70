package org.micabarrow.transport;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Numbers the queries that an entry sends to agents, and keeps when each was sent and what waits for its reply. Used by
 * the traffic thread only.
 */
final class LoadQueries {

    /**
     * The number of queries whose time of sending is kept; replies to earlier ones are ignored. This covers a few
     * seconds if a query is sent for each of a few hundred requests a second.
     */
    private static final int KEPT_QUERIES = 1_024;

    /**
     * The timeout for a reply that a request waits for, in milliseconds: a round trip to another region, behind two or
     * three chunks of weights on the link of the agent's instance.
     */
    private static final long REPLY_TIMEOUT_MILLIS = 150;

    private final XnioIoThread traffic;
    private final LongSupplier monotonicMillis;
    private final long[] sentMillis = new long[KEPT_QUERIES];
    private final Map<Integer, PendingReply> pending = new HashMap<>();
    private int sentCount;

    /** What waits for the reply to a query. */
    private record PendingReply(Consumer<Boolean> callback, XnioExecutor.Key timeout) {}

    /**
     * Creates an instance without queries.
     *
     * @param traffic the traffic thread
     * @param monotonicMillis a monotonic clock, in milliseconds
     */
    LoadQueries(XnioIoThread traffic, LongSupplier monotonicMillis) {
        this.traffic = traffic;
        this.monotonicMillis = monotonicMillis;
    }

    /** Returns the number of the next query, and records it as sent now. */
    int nextNumber() {
        int number = sentCount;
        sentCount++;
        sentMillis[number % KEPT_QUERIES] = monotonicMillis.getAsLong();
        return number;
    }

    /** Calls {@code callback} once with whether the reply to a query arrived in time. */
    void await(int number, Consumer<Boolean> callback) {
        XnioExecutor.Key timeout =
                traffic.executeAfter(() -> complete(number, false), REPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        pending.put(number, new PendingReply(callback, timeout));
    }

    /** Returns when a query was sent; empty if that was too long ago, or if it was never sent. */
    OptionalLong sentMillis(int number) {
        boolean kept = number >= 0 && number < sentCount && number >= sentCount - KEPT_QUERIES;
        return kept ? OptionalLong.of(sentMillis[number % KEPT_QUERIES]) : OptionalLong.empty();
    }

    /**
     * Records the reply to a query. The clock decides whether it arrived in time, since a process that was paused reads
     * the reply before it runs its timers.
     */
    void onReply(int number) {
        long earliestSentMillis = monotonicMillis.getAsLong() - REPLY_TIMEOUT_MILLIS;
        complete(number, sentMillis(number).orElse(Long.MIN_VALUE) >= earliestSentMillis);
    }

    private void complete(int number, boolean inTime) {
        PendingReply reply = pending.remove(number);
        if (reply != null) {
            reply.timeout().remove();
            reply.callback().accept(inTime);
        }
    }
}
