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

/** The gRPC server of a process and its channels to other processes, which share one small set of threads. */
public final class PeerChannels implements AutoCloseable {

    /** The number of threads that read and write sockets. */
    private static final int IO_THREADS = 2;

    /** The number of threads that handle calls and receive replies. */
    private static final int WORKER_THREADS = 4;

    /** The maximum message size, in bytes; it exceeds the 64 MiB that the settings allow for a body. */
    private static final int MAX_MESSAGE_BYTES = 72 << 20;

    /** The flow-control window of a stream, in bytes. */
    private static final int FLOW_CONTROL_WINDOW_BYTES = 1 << 20;

    /** The keep-alive interval of idle connections, in seconds; the probes detect dead connections. */
    private static final long KEEP_ALIVE_SECONDS = 20;

    private final WireMeter meter;
    private final Optional<TlsFiles> tls;
    private final EventLoopGroup eventLoops = new NioEventLoopGroup(IO_THREADS);
    private final ExecutorService executor = Executors.newFixedThreadPool(WORKER_THREADS, runnable -> {
        Thread thread = new Thread(runnable, "peer-work");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * Creates the threads.
     *
     * @param metrics receives the counters of calls and bytes on the wire
     * @param tls the certificates, empty for connections without TLS
     */
    public PeerChannels(MetricRegistry metrics, Optional<TlsFiles> tls) {
        this.tls = Objects.requireNonNull(tls, "tls is null");
        this.meter = new WireMeter(Objects.requireNonNull(metrics, "metrics is null"));
    }

    /**
     * Starts the server.
     *
     * @param address the host and port
     * @param service handles the calls
     * @return the running server
     * @throws IOException if the address cannot be used
     */
    public Server serve(String address, BindableService service) throws IOException {
        return NettyServerBuilder.forAddress(Addresses.parse(address), TlsFiles.server(tls))
                .channelType(NioServerSocketChannel.class)
                .bossEventLoopGroup(eventLoops)
                .workerEventLoopGroup(eventLoops)
                .executor(executor)
                .flowControlWindow(FLOW_CONTROL_WINDOW_BYTES)
                .maxInboundMessageSize(MAX_MESSAGE_BYTES)
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
     * @return the channel, which connects on first use
     */
    public ManagedChannel connect(String address) {
        InetSocketAddress socketAddress = Addresses.parse(address);
        return NettyChannelBuilder.forAddress(socketAddress, TlsFiles.client(tls))
                .channelType(NioSocketChannel.class)
                .eventLoopGroup(eventLoops)
                .executor(executor)
                .flowControlWindow(FLOW_CONTROL_WINDOW_BYTES)
                .maxInboundMessageSize(MAX_MESSAGE_BYTES)
                .keepAliveTime(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
                .intercept(new MeteringInterceptor())
                .build();
    }

    /** Attaches byte counters to every call of a channel. */
    private final class MeteringInterceptor implements ClientInterceptor {

        @Override
        public <A, B> ClientCall<A, B> interceptCall(MethodDescriptor<A, B> method, CallOptions options, Channel next) {
            return next.newCall(method, options.withStreamTracerFactory(meter.client(method.getFullMethodName())));
        }
    }

    @Override
    public void close() {
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        executor.shutdownNow();
    }
}
