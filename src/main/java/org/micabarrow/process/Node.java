package org.micabarrow.process;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.grpc.Server;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.micabarrow.coordination.configuration.Configuration;
import org.micabarrow.coordination.configuration.ConfigurationReader;
import org.micabarrow.coordination.configuration.ControlThread;
import org.micabarrow.coordination.configuration.RecordWriter;
import org.micabarrow.coordination.membership.HallRelays;
import org.micabarrow.coordination.membership.Identity;
import org.micabarrow.protocol.wire.StatusReply;
import org.micabarrow.settings.Common;
import org.micabarrow.state.Instance;
import org.micabarrow.steps.StoppableThread;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.PlatformClient;
import org.micabarrow.transport.TlsFiles;
import org.micabarrow.transport.grpc.PeerChannels;
import org.micabarrow.transport.grpc.PeerClient;

/** The parts that an entry and an agent have alike. */
final class Node implements AutoCloseable {

    /** How often a process that stops looks whether its work has ended, in milliseconds. */
    static final long STOP_POLL_MILLIS = 50;

    /** How long the end of a server's connections is waited for. It takes some milliseconds. */
    private static final Duration LONGEST_END = Duration.ofSeconds(1);

    /** The threads of the HTTP client, which never block. */
    private static final int HTTP_THREADS = 2;

    /** How often the list of instances is read while it is still empty, at the most. */
    private static final Duration LIST_AT_START = Duration.ofSeconds(2);

    private final Identity identity;
    private final InstantSource clock = InstantSource.system();
    private final MetricRegistry metrics = new MetricRegistry();
    private final ControlThread control = ControlThread.start("control");
    private final Configuration configuration = new Configuration(control, clock);
    private final HttpClient http = HttpClient.start("http-client", HTTP_THREADS);
    private final AtomicReference<List<Instance>> instances = new AtomicReference<>(List.of());
    private final PlatformClient platform;
    private final PeerChannels channels;
    private final PeerClient peers;
    private final RecordWriter writer;
    private final long listMillis;
    private final StoppableThread list = new StoppableThread("instance-list", this::pollList);
    private ConfigurationReader reader;

    Node(Common.Place place, Common.Platform services, Common.Security security, long listMillis) throws IOException {
        Objects.requireNonNull(place, "place is null");
        this.identity = new Identity(place.id(), place.region(), place.hall(), clock.millis());
        this.platform = new PlatformClient(http, services);
        this.channels = new PeerChannels(metrics, open(security.peers()));
        this.peers = new PeerClient(place.id(), clock, channels::connect, this::knownPeers, metrics);
        this.writer = new RecordWriter(platform, configuration, clock);
        this.listMillis = listMillis;
        registerFigures();
    }

    static Optional<TlsFiles> open(Optional<Common.Tls> files) throws IOException {
        return files.isPresent() ? Optional.of(TlsFiles.open(files.get())) : Optional.empty();
    }

    private void registerFigures() {
        gauge(
                "process.cpuMillis",
                () -> ProcessHandle.current()
                        .info()
                        .totalCpuDuration()
                        .map(Duration::toMillis)
                        .orElse(0L));
        gauge(
                "process.heapBytes",
                () -> ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
        gauge("configuration.generation", configuration::generation);
        gauge("configuration.silentMillis", configuration::silentMillis);
        gauge("configuration.stopped", () -> configuration.view().stopped().isPresent() ? 1 : 0);
        gauge("http.sentBytes", http::sentBytes);
        gauge("http.receivedBytes", http::receivedBytes);
    }

    <T> void gauge(String name, Gauge<T> gauge) {
        metrics.registerGauge(name, gauge);
    }

    // -- parts

    Identity identity() {
        return identity;
    }

    InstantSource clock() {
        return clock;
    }

    MetricRegistry metrics() {
        return metrics;
    }

    ControlThread control() {
        return control;
    }

    Configuration configuration() {
        return configuration;
    }

    HttpClient http() {
        return http;
    }

    PlatformClient platform() {
        return platform;
    }

    PeerChannels channels() {
        return channels;
    }

    PeerClient peers() {
        return peers;
    }

    RecordWriter writer() {
        return writer;
    }

    List<Instance> instances() {
        return instances.get();
    }

    static String newId() {
        return UUID.randomUUID().toString();
    }

    /** Threads for work that may block; none of them keeps the process alive. */
    static ExecutorService workers(String name) {
        return Executors.newCachedThreadPool(work -> {
            Thread thread = new Thread(work, name);
            thread.setDaemon(true);
            return thread;
        });
    }

    // -- what others are told

    /** Whether the configuration is known and followed. */
    boolean healthy() {
        return configuration.known() && configuration.view().stopped().isEmpty();
    }

    /** The part of the status that every process tells. */
    StatusReply.Builder status() {
        return StatusReply.newBuilder()
                .setGeneration(configuration.current().offset())
                .setInstance(identity.instance())
                .setRegion(identity.region())
                .setHall(identity.hall())
                .setEpoch(identity.epochText());
    }

    // -- running

    /** Begins to read the list of instances and the configuration. */
    void start() {
        readList();
        list.start();
        reader = ConfigurationReader.start(configuration, platform, peers, this::relays);
    }

    private void pollList() {
        while (!list.isClosing()) {
            list.pause(Duration.ofMillis(
                    instances().isEmpty() ? Math.min(listMillis, LIST_AT_START.toMillis()) : listMillis));
            if (!list.isClosing()) {
                readList();
            }
        }
    }

    private void readList() {
        platform.read().toOptional().ifPresent(instances::set);
    }

    private List<String> relays() {
        return HallRelays.of(identity.instance(), identity.hall(), instances());
    }

    /** Other processes, the nearest first. */
    private List<String> knownPeers() {
        Stream<Instance> near = instances().stream().filter(one -> one.hall().equals(identity.hall()));
        Stream<Instance> far = instances().stream().filter(one -> !one.hall().equals(identity.hall()));
        return Stream.concat(near, far)
                .filter(one -> !one.id().equals(identity.instance()))
                .map(Instance::address)
                .toList();
    }

    // -- stopping

    /** Waits while there is still work, unless the thread is interrupted. */
    static void awaitIdle(BooleanSupplier busy) {
        while (busy.getAsBoolean()) {
            try {
                Thread.sleep(STOP_POLL_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /**
     * Ends a server with its connections, which needs the threads that {@link #close} ends: a connection that was left open
     * without them answers nothing more, and whoever waits at its other end sees that only by its own time limits.
     */
    static void end(Server server) {
        server.shutdownNow();
        try {
            server.awaitTermination(LONGEST_END.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The readers end first, so that none begins a call on connections or executors that are closed. */
    @Override
    public void close() {
        list.close();
        if (reader != null) {
            reader.close();
        }
        control.close();
        peers.close();
        channels.close();
        http.close();
    }
}
