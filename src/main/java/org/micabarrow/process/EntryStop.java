package org.micabarrow.process;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.micabarrow.serving.ServingHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/** The planned stop of an entry: requests that were read are answered, and none is read that could not be. */
final class EntryStop {

    private static final Logger LOG = LoggerFactory.getLogger(HostedEntryProcess.class);

    /**
     * How long new connections may still arrive after SIGTERM, in milliseconds: the platform removes an instance after two failed
     * readiness checks, one second apart.
     */
    private static final long READINESS_LAG_MILLIS = 2_500;

    /** The remainder of the grace period when requests in flight are ended, in milliseconds. */
    private static final long GRACE_RESERVE_MILLIS = 700;

    /** How long their responses may then take to leave, in milliseconds; the rest is for the end of the process. */
    private static final long FLUSH_MILLIS = 300;

    private static final long POLL_MILLIS = 50;

    /** Timeout of a check for open requests, in milliseconds: two must fit into the reserve of the grace period. */
    private static final long CHECK_TIMEOUT_MILLIS = 250;

    private final ServingHandler handler;
    private final Runnable closeListener;
    private final XnioIoThread traffic;

    EntryStop(ServingHandler handler, Runnable closeListener, XnioIoThread traffic) {
        this.handler = handler;
        this.closeListener = closeListener;
        this.traffic = traffic;
    }

    /** Stops within a grace period, after which the process would be killed. */
    void within(long graceMillis) throws InterruptedException {
        long begun = HostedNode.steadyMillis();
        long readinessMillis = Math.min(READINESS_LAG_MILLIS, graceMillis / 2);
        long latest = begun + graceMillis - GRACE_RESERVE_MILLIS;
        handler.startStopping(begun + readinessMillis, latest);
        LOG.info("event=leaving open={}", handler.connections().inFlightCount());
        Thread.sleep(readinessMillis);
        handler.connections().closeIdle();
        if (!closeUntil(latest)) {
            // Requests that are still open, and those sent behind them, get a response before the process ends.
            traffic.execute(handler::endRequests);
            closeUntil(latest + FLUSH_MILLIS);
        }
        LOG.info("event=stopped open={}", handler.connections().inFlightCount());
    }

    /** Closes all client connections as soon as no request is open; false if that did not come in time. */
    private boolean closeUntil(long latestMillis) throws InterruptedException {
        boolean closed = closeIfIdle();
        while (!closed && HostedNode.steadyMillis() < latestMillis) {
            Thread.sleep(POLL_MILLIS);
            closed = closeIfIdle();
        }
        return closed;
    }

    /**
     * Closes all client connections if no request is open. Runs on the thread that reads requests: a request that is read between the
     * check and the end of the process would have its connection closed without a response.
     */
    private boolean closeIfIdle() throws InterruptedException {
        CompletableFuture<Boolean> closed = new CompletableFuture<>();
        handler.connections()
                .ifIdle(
                        traffic,
                        () -> {
                            closeListener.run();
                            // Each connection is closed by its own task on this thread, all of which are queued before
                            // this one.
                            traffic.execute(() -> closed.complete(true));
                        },
                        () -> closed.complete(false));
        try {
            return closed.get(CHECK_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.warn("event=not_closed why=\"{}\"", e.toString());
            return false;
        }
    }
}
