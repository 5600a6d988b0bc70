package org.micabarrow.transport.grpc;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.grpc.ClientStreamTracer;
import io.grpc.Metadata;
import io.grpc.ServerStreamTracer;
import java.util.Objects;

/**
 * Counts what goes over connections between processes: metrics {@code peers.METHOD.sent}, {@code .received} and
 * {@code .calls}, in bytes as they are on the wire.
 */
public final class WireMeter {

    private final MetricRegistry registry;

    /**
     * Makes a meter.
     *
     * @param registry holds the counters
     */
    public WireMeter(MetricRegistry registry) {
        this.registry = Objects.requireNonNull(registry, "registry is null");
    }

    private Counter counter(String method, String what) {
        String shortName = method.substring(method.lastIndexOf('/') + 1);
        return registry.counter(MetricRegistry.name("peers", shortName, what));
    }

    /**
     * Counts the calls that a server answers.
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
     * Counts one call that a client makes.
     *
     * @param method the method's full name
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
