package org.micabarrow.transport;

import java.io.IOException;
import java.net.ConnectException;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.micabarrow.crashes.PortProbe;
import org.micabarrow.routing.EndpointRegistration;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** Checks whether an endpoint's process listens on its port, by opening a connection on which nothing is sent. */
public final class ListenerProbe implements PortProbe {

    /** The timeout for the connection attempt, in milliseconds: somewhat more than a round trip between regions. */
    private static final long TIMEOUT_MILLIS = 250;

    private final XnioWorker worker;

    /**
     * Creates a probe.
     *
     * @param worker the worker whose only thread is the traffic thread
     */
    public ListenerProbe(XnioWorker worker) {
        this.worker = Objects.requireNonNull(worker, "worker is null");
    }

    @Override
    public void probe(EndpointRegistration endpoint, Consumer<Boolean> callback) {
        PendingProbe probe = new PendingProbe(callback);
        XnioIoThread thread = worker.getIoThread();
        thread.executeAfter(() -> probe.complete(false), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        IoFuture<StreamConnection> connection =
                worker.openStreamConnection(Addresses.parse(endpoint.address()), IoUtils::safeClose, OptionMap.EMPTY);
        connection.addNotifier(
                (outcome, ignored) -> {
                    boolean refused = refused(outcome);
                    thread.execute(() -> probe.complete(refused));
                },
                null);
    }

    private static boolean refused(IoFuture<? extends StreamConnection> outcome) {
        if (outcome.getStatus() != IoFuture.Status.FAILED) {
            return false;
        }
        IOException cause = outcome.getException();
        return cause instanceof ConnectException;
    }

    /** A probe in progress. It completes once, on the traffic thread. */
    private static final class PendingProbe {

        private final Consumer<Boolean> callback;
        private boolean completed;

        private PendingProbe(Consumer<Boolean> callback) {
            this.callback = callback;
        }

        private void complete(boolean refused) {
            if (!completed) {
                completed = true;
                callback.accept(refused);
            }
        }
    }
}
