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

/** Finds out whether an endpoint's process listens, by a connection on which nothing is sent. */
public final class ListenerProbe implements PortProbe {

    /** How long an instance may take to say whether anybody listens, in milliseconds: a way between regions and back, and more. */
    private static final long ANSWER_MILLIS = 250;

    private final XnioWorker worker;

    /**
     * Makes a probe.
     *
     * @param worker its one thread is that for traffic
     */
    public ListenerProbe(XnioWorker worker) {
        this.worker = Objects.requireNonNull(worker, "worker is null");
    }

    @Override
    public void ask(EndpointRegistration endpoint, Consumer<Boolean> then) {
        Question question = new Question(then);
        XnioIoThread thread = worker.getIoThread();
        thread.executeAfter(() -> question.settle(false), ANSWER_MILLIS, TimeUnit.MILLISECONDS);
        IoFuture<StreamConnection> connection =
                worker.openStreamConnection(Addresses.parse(endpoint.address()), IoUtils::safeClose, OptionMap.EMPTY);
        connection.addNotifier(
                (outcome, ignored) -> {
                    boolean refused = refused(outcome);
                    thread.execute(() -> question.settle(refused));
                },
                null);
    }

    private static boolean refused(IoFuture<? extends StreamConnection> outcome) {
        if (outcome.getStatus() != IoFuture.Status.FAILED) {
            return false;
        }
        IOException why = outcome.getException();
        return why instanceof ConnectException;
    }

    /** Answered once, on the thread for traffic. */
    private static final class Question {

        private final Consumer<Boolean> then;
        private boolean settled;

        private Question(Consumer<Boolean> then) {
            this.then = then;
        }

        private void settle(boolean refused) {
            if (!settled) {
                settled = true;
                then.accept(refused);
            }
        }
    }
}
