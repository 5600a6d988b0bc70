package org.micabarrow.transport.grpc;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.grpc.ClientStreamTracer;
import io.grpc.Metadata;
import io.grpc.ServerStreamTracer;
import java.util.Objects;

/**
 * Counts the traffic between processes in the metrics {@code peers.METHOD.sent} and {@code .received}, in bytes on the
 * wire, and the calls that a server handles in {@code peers.METHOD.calls}.
 */
public final class WireMeter {

    private final MetricRegistry registry;

    /**
     * Creates a meter.
     *
     * @param registry receives the counters
     */
    public WireMeter(MetricRegistry registry) {
        this.registry = Objects.requireNonNull(registry, "registry is null");
    }

    private Counter counter(String method, String metric) {
        String methodName = method.substring(method.lastIndexOf('/') + 1);
        return registry.counter(MetricRegistry.name("peers", methodName, metric));
    }

    /**
     * Returns the tracer factory for a server; it counts calls and bytes.
     *
     * @return the factory for a server
     */
    public ServerStreamTracer.Factory server() {
        return new ServerStreamTracer.Factory() {
            @Override
            public ServerStreamTracer newServerStreamTracer(String method, Metadata headers) {
                counter(method, "calls").inc();
                return new ServerStreamTracer() {
                    @Override
                    public void outboundWireSize(long bytes) {
                        counter(method, "sent").inc(bytes);
                    }

                    @Override
                    public void inboundWireSize(long bytes) {
                        counter(method, "received").inc(bytes);
                    }
                };
            }
        };
    }

    /**
     * Returns the tracer factory for one client call; it counts bytes.
     *
     * @param method the full name of the gRPC method
     * @return the factory for the call
     */
    public ClientStreamTracer.Factory client(String method) {
        return new ClientStreamTracer.Factory() {
            @Override
            public ClientStreamTracer newClientStreamTracer(ClientStreamTracer.StreamInfo info, Metadata headers) {
                return new ClientStreamTracer() {
                    @Override
                    public void outboundWireSize(long bytes) {
                        counter(method, "sent").inc(bytes);
                    }

                    @Override
                    public void inboundWireSize(long bytes) {
                        counter(method, "received").inc(bytes);
                    }
                };
            }
        };
    }
}
