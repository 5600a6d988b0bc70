package org.micabarrow.transport.grpc;

import com.codahale.metrics.MetricRegistry;
import io.grpc.BindableService;
import io.grpc.CallOptions;
import io.grpc.Channel;
import io.grpc.ClientCall;
import io.grpc.ClientInterceptor;
import io.grpc.ManagedChannel;
import io.grpc.MethodDescriptor;
import io.grpc.Server;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.netty.shaded.io.netty.channel.EventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.socket.nio.NioServerSocketChannel;
import io.grpc.netty.shaded.io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.micabarrow.transport.Addresses;
import org.micabarrow.transport.TlsFiles;

/** The gRPC server of a process and its channels to others, on one small set of threads. */
public final class PeerChannels implements AutoCloseable {

    /** The threads that read and write sockets. */
    private static final int IO_THREADS = 2;

    /** The threads that answer calls and receive replies. */
    private static final int WORK_THREADS = 4;

    /** The greatest message, in bytes: above the 64 MiB that a body may have by the settings. */
    private static final int MOST_MESSAGE_BYTES = 72 << 20;

    /** The flow-control window of a stream, in bytes. */
    private static final int WINDOW_BYTES = 1 << 20;

    /** How often an idle connection is probed, in seconds, so that one that is gone is noticed. */
    private static final long KEEP_ALIVE_SECONDS = 20;

    private final WireMeter meter;
    private final Optional<TlsFiles> tls;
    private final EventLoopGroup events = new NioEventLoopGroup(IO_THREADS);
    private final ExecutorService work = Executors.newFixedThreadPool(WORK_THREADS, runnable -> {
        Thread thread = new Thread(runnable, "peer-work");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * Makes the threads.
     *
     * @param metrics counts what goes over the wire
     * @param tls the certificates, empty for plain connections
     */
    public PeerChannels(MetricRegistry metrics, Optional<TlsFiles> tls) {
        this.tls = Objects.requireNonNull(tls, "tls is null");
        this.meter = new WireMeter(Objects.requireNonNull(metrics, "metrics is null"));
    }

    /**
     * Starts the server.
     *
     * @param address the host and port
     * @param service answers
     * @return the running server
     * @throws IOException if the address cannot be used
     */
    public Server serve(String address, BindableService service) throws IOException {
        return NettyServerBuilder.forAddress(Addresses.parse(address), TlsFiles.server(tls))
                .channelType(NioServerSocketChannel.class)
                .bossEventLoopGroup(events)
                .workerEventLoopGroup(events)
                .executor(work)
                .flowControlWindow(WINDOW_BYTES)
                .maxInboundMessageSize(MOST_MESSAGE_BYTES)
                .permitKeepAliveTime(KEEP_ALIVE_SECONDS / 2, TimeUnit.SECONDS)
                .addStreamTracerFactory(meter.server())
                .addService(service)
                .build()
                .start();
    }

    /**
     * Opens a channel.
     *
     * @param address the host and port
     * @return the channel, which connects when it is first used
     */
    public ManagedChannel connect(String address) {
        InetSocketAddress at = Addresses.parse(address);
        return NettyChannelBuilder.forAddress(at, TlsFiles.client(tls))
                .channelType(NioSocketChannel.class)
                .eventLoopGroup(events)
                .executor(work)
                .flowControlWindow(WINDOW_BYTES)
                .maxInboundMessageSize(MOST_MESSAGE_BYTES)
                .keepAliveTime(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
                .intercept(new Metered())
                .build();
    }

    /** Counts every call of a channel. */
    private final class Metered implements ClientInterceptor {

        @Override
        public <A, B> ClientCall<A, B> interceptCall(MethodDescriptor<A, B> method, CallOptions options, Channel next) {
            return next.newCall(method, options.withStreamTracerFactory(meter.client(method.getFullMethodName())));
        }
    }

    @Override
    public void close() {
        events.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        work.shutdownNow();
    }
}
