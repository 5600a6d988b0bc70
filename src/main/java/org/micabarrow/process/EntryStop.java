package org.micabarrow.process;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.micabarrow.serving.ServingHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/** The planned stop of an entry: what it has read is answered, and nothing is read that would not be. */
final class EntryStop {

    private static final Logger LOG = LoggerFactory.getLogger(HostedEntryProcess.class);

    /** How long after SIGTERM new connections may still come, in milliseconds: two questions, a second apart. */
    private static final long STILL_CHOSEN_MILLIS = 2_500;

    /** What is left of the grace when the process ends by itself, in milliseconds. */
    private static final long GRACE_LEFT_MILLIS = 700;

    private static final long LOOK_MILLIS = 50;

    /** How long a look for open requests may take, in milliseconds: two must fit into what is left of the grace. */
    private static final long LOOK_LIMIT_MILLIS = 250;

    private final ServingHandler handler;
    private final Runnable closeListener;
    private final XnioIoThread traffic;

    EntryStop(ServingHandler handler, Runnable closeListener, XnioIoThread traffic) {
        this.handler = handler;
        this.closeListener = closeListener;
        this.traffic = traffic;
    }

    /** Stops within a grace, after which the process would be killed. */
    void within(long graceMillis) throws InterruptedException {
        long latest = HostedNode.steadyMillis() + graceMillis - GRACE_LEFT_MILLIS;
        handler.connections().startDraining();
        LOG.info("event=leaving open={}", handler.connections().inFlightCount());
        Thread.sleep(Math.min(STILL_CHOSEN_MILLIS, graceMillis / 2));
        handler.connections().closeIdle();
        boolean closed = closedAtRest();
        while (!closed && HostedNode.steadyMillis() < latest) {
            Thread.sleep(LOOK_MILLIS);
            closed = closedAtRest();
        }
        if (!closed) {
            // What was read and is still open is told so, instead of ending with the process.
            traffic.execute(handler::endRequests);
            closedAtRest();
        }
        LOG.info("event=stopped open={}", handler.connections().inFlightCount());
    }

    /**
     * Closes all connections of clients if no request is open. It looks on the thread on which alone they are read: what is read
     * between a look and the end of the process would have its connection closed without an answer.
     */
    private boolean closedAtRest() throws InterruptedException {
        CompletableFuture<Boolean> closed = new CompletableFuture<>();
        traffic.execute(() -> {
            boolean rests = handler.connections().inFlightCount() == 0;
            if (rests) {
                closeListener.run();
            }
            // Each connection is closed by a step of its own on this thread, and those come before this one.
            traffic.execute(() -> closed.complete(rests));
        });
        try {
            return closed.get(LOOK_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.warn("event=not_closed why=\"{}\"", e.toString());
            return false;
        }
    }
}
