package org.micabarrow.transport;

import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.micabarrow.steps.RepeatedTasks;

/**
 * Ends exchanges on whose connections far more bytes come than their responses consist of: a head, a chunk header or a
 * trailer without an end. Undertow's client reads these for as long as they come, keeps them in memory and does not
 * return to its selector, so they are noticed on a thread of their own. Thread-safe.
 */
final class UnaccountedBytesWatch implements AutoCloseable {

    /** The most bytes of a response besides its body, in bytes: far more than the head of any response. */
    private static final long MAX_BYTES = 256 * 1024;

    /** How many bytes each byte of a body may come with: a chunk of a single byte has a header of about six. */
    private static final long MAX_BYTES_PER_BODY_BYTE = 16;

    /** Interval between checks in milliseconds, in which a link of 1 Gbit/s carries twelve megabytes. */
    private static final long CHECK_MILLIS = 100;

    private final Set<Exchange> exchanges = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().name("http-watch").daemon().factory());
    private volatile ScheduledFuture<?> checks;

    /** An exchange that is watched while its response is read. */
    interface Exchange {

        /** The bytes that came on its connection since its request was sent. */
        long receivedBytes();

        /** The bytes of its response's body that were delivered. */
        long deliveredBytes();

        /** Closes the connection; called on the thread of the watch. */
        void onTooManyBytes(String reason);
    }

    void add(Exchange exchange) {
        exchanges.add(Objects.requireNonNull(exchange, "exchange is null"));
        if (checks == null) {
            update();
        }
    }

    void remove(Exchange exchange) {
        exchanges.remove(exchange);
    }

    /** Runs checks only while there are exchanges. */
    private synchronized void update() {
        if (exchanges.isEmpty() && checks != null) {
            checks.cancel(false);
            checks = null;
        }
        // Looked at again: an exchange may have been added before it could see that the checks have ended.
        if (!exchanges.isEmpty() && checks == null && !thread.isShutdown()) {
            checks = thread.scheduleWithFixedDelay(this::check, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void check() {
        RepeatedTasks.runGuarded("http-watch", () -> exchanges.forEach(UnaccountedBytesWatch::check));
        if (exchanges.isEmpty()) {
            update();
        }
    }

    private static void check(Exchange exchange) {
        long delivered = exchange.deliveredBytes();
        long unaccounted = exchange.receivedBytes() - delivered;
        if (unaccounted > MAX_BYTES + MAX_BYTES_PER_BODY_BYTE * delivered) {
            exchange.onTooManyBytes(unaccounted + " bytes came that belong to no body");
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
