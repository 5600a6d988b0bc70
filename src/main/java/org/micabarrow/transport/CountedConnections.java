package org.micabarrow.transport;

import java.net.SocketAddress;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Opens connections for Undertow's client and hands each to an observer first. The client takes the factory of its connections in
 * the form of a thread; this one is never started, and the connections belong to the worker's own threads.
 */
final class CountedConnections extends XnioIoThread {

    private final XnioWorker worker;
    private final ChannelListener<StreamConnection> observer;

    CountedConnections(XnioWorker worker, ChannelListener<StreamConnection> observer) {
        super(worker, 0);
        this.worker = Objects.requireNonNull(worker, "worker is null");
        this.observer = Objects.requireNonNull(observer, "observer is null");
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress target, ChannelListener<? super StreamConnection> onOpen, OptionMap options) {
        ChannelListener<StreamConnection> observed = connection -> {
            observer.handleEvent(connection);
            onOpen.handleEvent(connection);
        };
        return worker.openStreamConnection(target, observed, options);
    }

    @Override
    public void execute(Runnable task) {
        worker.getIoThread().execute(task);
    }

    @Override
    public Key executeAfter(Runnable task, long time, TimeUnit unit) {
        return worker.getIoThread().executeAfter(task, time, unit);
    }

    @Override
    public Key executeAtInterval(Runnable task, long time, TimeUnit unit) {
        return worker.getIoThread().executeAtInterval(task, time, unit);
    }
}
