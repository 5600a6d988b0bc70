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

/** The parts that an entry and an agent have in common. */
final class Node implements AutoCloseable {

    /** How often a stopping process checks whether its requests have ended, in milliseconds. */
    static final long STOP_POLL_MILLIS = 50;

    /** The longest wait for a server's connections to close, which usually takes some milliseconds. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(1);

    /** The threads of the HTTP client, which never block. */
    private static final int HTTP_THREADS = 2;

    /** The longest interval between reads of the list of instances while it is empty. */
    private static final Duration EMPTY_LIST_INTERVAL = Duration.ofSeconds(2);

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
        registerGauges();
    }

    static Optional<TlsFiles> open(Optional<Common.Tls> files) throws IOException {
        return files.isPresent() ? Optional.of(TlsFiles.open(files.get())) : Optional.empty();
    }

    private void registerGauges() {
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

    /** Daemon threads for work that may block. */
    static ExecutorService workers(String name) {
        return Executors.newCachedThreadPool(work -> {
            Thread thread = new Thread(work, name);
            thread.setDaemon(true);
            return thread;
        });
    }

    // -- status

    /** Whether the configuration is known and followed. */
    boolean healthy() {
        return configuration.known() && configuration.view().stopped().isEmpty();
    }

    /** The part of the status that every process reports. */
    StatusReply.Builder status() {
        return StatusReply.newBuilder()
                .setGeneration(configuration.current().offset())
                .setInstance(identity.instance())
                .setRegion(identity.region())
                .setHall(identity.hall())
                .setEpoch(identity.epochText());
    }

    // -- running

    /** Starts to read the list of instances and the configuration. */
    void start() {
        readList();
        list.start();
        reader = ConfigurationReader.start(configuration, platform, peers, this::relays);
    }

    private void pollList() {
        while (!list.isClosing()) {
            list.pause(Duration.ofMillis(
                    instances().isEmpty() ? Math.min(listMillis, EMPTY_LIST_INTERVAL.toMillis()) : listMillis));
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

    /** The other processes, those of the same data hall first. */
    private List<String> knownPeers() {
        Stream<Instance> near = instances().stream().filter(one -> one.hall().equals(identity.hall()));
        Stream<Instance> far = instances().stream().filter(one -> !one.hall().equals(identity.hall()));
        return Stream.concat(near, far)
                .filter(one -> !one.id().equals(identity.instance()))
                .map(Instance::address)
                .toList();
    }

    // -- stopping

    /** Waits until there are no more requests, or until the thread is interrupted. */
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
     * Closes a server and its connections, for which the threads that {@link #close} ends are needed: a connection left open without
     * them never answers, which the peer notices only by its own timeouts.
     */
    static void end(Server server) {
        server.shutdownNow();
        try {
            server.awaitTermination(CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes the readers first, so that none starts a call on closed connections or executors. */
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
