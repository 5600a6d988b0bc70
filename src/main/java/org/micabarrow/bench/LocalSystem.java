package org.micabarrow.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.micabarrow.coordination.weights.Weights;
import org.micabarrow.process.AgentProcess;
import org.micabarrow.process.EntryProcess;
import org.micabarrow.settings.AgentSettings;
import org.micabarrow.settings.Common;
import org.micabarrow.settings.EntrySettings;
import org.micabarrow.standin.EngineStandin;
import org.micabarrow.standin.PlatformStandin;
import org.micabarrow.standin.Ports;
import org.micabarrow.standin.ServiceStandin;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Digest;
import org.micabarrow.state.Instance;

/**
 * Entries, agents and stand-ins in one process, on loopback. Each speaks over its own sockets, as separate processes
 * would; tests and benchmarks that need many nodes use it.
 */
public final class LocalSystem implements AutoCloseable {

    /** The token of the one operator. */
    public static final String OPERATOR_TOKEN = "token-of-an-operator";

    private final Options options;
    private final PlatformStandin platform;
    private final String platformAddress;
    private final Map<String, EntryProcess> entries = new LinkedHashMap<>();
    private final Map<String, EntrySettings> entrySettings = new LinkedHashMap<>();
    private final Map<String, AgentProcess> agents = new LinkedHashMap<>();
    private final Map<String, AgentSettings> agentSettings = new LinkedHashMap<>();
    private final Map<String, EngineStandin> engines = new LinkedHashMap<>();
    private final Map<String, ServiceStandin> services = new LinkedHashMap<>();
    private final Map<String, Instance> instances = new LinkedHashMap<>();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private Optional<Path> binary = Optional.empty();
    private long statusMillis = 100;
    private UnaryOperator<Weights> faults = UnaryOperator.identity();

    private LocalSystem(Options options) {
        this.options = Objects.requireNonNull(options, "options is null");
        this.platformAddress = Ports.freeAddress();
        this.platform = PlatformStandin.start(platformAddress, options.originRate(), options.storeRate());
    }

    /**
     * How the system is set up.
     *
     * @param originRate bytes a second of the origin's link
     * @param storeRate bytes a second of the store
     * @param instanceRate bytes a second of each instance's link
     * @param engine how fast engines are
     * @param patienceMillis the longest wait for a chunk
     * @param windowBytes how many bytes of chunks an agent holds
     * @param claimMillis how long the log may take for a claim
     * @param repairMillis after how long a lost replica is replaced
     * @param checkpointMillis how often checkpoints are written
     * @param cutOffMillis after how long an instance counts as cut off
     */
    public record Options(
            long originRate,
            long storeRate,
            long instanceRate,
            EngineStandin.Timing engine,
            long patienceMillis,
            long windowBytes,
            long claimMillis,
            long repairMillis,
            long checkpointMillis,
            long cutOffMillis) {

        /**
         * Options for tests: quick links and engines.
         *
         * @return the options
         */
        public static Options quick() {
            return new Options(
                    64 << 20,
                    64 << 20,
                    32 << 20,
                    new EngineStandin.Timing(16, 2, 1),
                    1000,
                    8 << 20,
                    5000,
                    500,
                    600_000,
                    600_000);
        }

        /**
         * The same with other links.
         *
         * @param origin bytes a second of the origin's link
         * @param store bytes a second of the store
         * @param instance bytes a second of each instance's link
         * @return the options
         */
        public Options withLinks(long origin, long store, long instance) {
            return new Options(
                    origin,
                    store,
                    instance,
                    engine,
                    patienceMillis,
                    windowBytes,
                    claimMillis,
                    repairMillis,
                    checkpointMillis,
                    cutOffMillis);
        }
    }

    /**
     * Lets entries and agents that are added from now on run as processes of their own.
     *
     * @param program the product's binary
     */
    public void separate(Path program) {
        binary = Optional.of(program);
    }

    private Process launch(String command, String id, Object settings) throws IOException {
        Path file = Files.createTempFile(id, ".jsonc");
        file.toFile().deleteOnExit();
        Files.writeString(file, CanonicalJson.pretty(settings));
        return new ProcessBuilder(binary.orElseThrow().toString(), command, "--settings", file.toString())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    /**
     * A process of its own.
     *
     * @param id its instance
     * @return the process
     */
    public Process process(String id) {
        return processes.get(id);
    }

    /**
     * How often entries and agents that are added from now on ask for status; reports are asked for twice as often.
     *
     * @param millis the period, 100 unless set
     */
    public void statusEvery(long millis) {
        statusMillis = millis;
    }

    /**
     * Tampers with the weights that agents started from now on read.
     *
     * @param tampering put between each agent and its sources
     */
    public void tamper(UnaryOperator<Weights> tampering) {
        faults = tampering;
    }

    /**
     * Starts the platform's stand-in; entries and agents are added afterwards.
     *
     * @param options how the system is set up
     * @return the system
     */
    public static LocalSystem start(Options options) {
        return new LocalSystem(options);
    }

    // -- adding

    /**
     * Adds an entry.
     *
     * @param id its name
     * @param region its region
     * @param hall its data hall
     */
    public void addEntry(String id, String region, String hall) {
        EntrySettings settings = new EntrySettings(
                new Common.Place(id, region, hall),
                new EntrySettings.Listen(Ports.freeAddress(), Ports.freeAddress(), Ports.freeAddress()),
                platformServices(),
                List.of(new EntrySettings.Operator("ana", Digest.of(OPERATOR_TOKEN))),
                new Common.LinkRates(options.originRate(), options.instanceRate()),
                new EntrySettings.Limits(
                        1 << 20, 16 << 10, 1000, 60_000, 60_000, options.claimMillis(), 3_600_000, 2, 0.1),
                new EntrySettings.Peers(
                        statusMillis, 15 * statusMillis, 200, options.repairMillis(), options.checkpointMillis(), 64),
                new Common.Logging("text", "info"),
                new Common.Security(Optional.empty(), Optional.empty()));
        instances.put(id, new Instance(id, region, hall, settings.listen().peers(), Instance.ENTRY, 0, false));
        entrySettings.put(id, settings);
        startEntry(id);
    }

    /**
     * Starts an entry that has been added, again.
     *
     * @param id its name
     */
    public void startEntry(String id) {
        try {
            if (binary.isPresent()) {
                processes.put(id, launch("entry", id, entrySettings.get(id)));
            } else {
                entries.put(id, EntryProcess.start(entrySettings.get(id)));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Adds an agent with a model engine.
     *
     * @param id its name
     * @param region its region
     * @param hall its data hall
     */
    public void addEngine(String id, String region, String hall) {
        String address = Ports.freeAddress();
        engines.put(id, EngineStandin.start(address, options.engine()));
        addAgent(new Common.Place(id, region, hall), Instance.ENGINE, address);
    }

    /**
     * Adds an agent with a plain service.
     *
     * @param id its name
     * @param region its region
     * @param hall its data hall
     * @param service the service
     * @param millis how long a call takes
     */
    public void addService(String id, String region, String hall, String service, long millis) {
        String address = Ports.freeAddress();
        services.put(id, ServiceStandin.start(address, millis));
        addAgent(new Common.Place(id, region, hall), "service:" + service, address);
    }

    private void addAgent(Common.Place place, String kind, String endpoint) {
        boolean engine = kind.equals(Instance.ENGINE);
        AgentSettings settings = new AgentSettings(
                place,
                new AgentSettings.Listen(Ports.freeAddress(), Ports.freeAddress()),
                platformServices(),
                new AgentSettings.EndpointAddress(
                        engine ? "engine" : "service", "http://" + endpoint, statusMillis / 2),
                new Common.LinkRates(options.originRate(), options.instanceRate()),
                new AgentSettings.Weights(options.windowBytes(), options.patienceMillis(), 5_000, 3_000),
                new AgentSettings.Limits(2, 64, 1000, 1 << 20, 60_000, options.cutOffMillis(), 30_000),
                new Common.Logging("text", "info"),
                new Common.Security(Optional.empty(), Optional.empty()));
        instances.put(
                place.id(),
                new Instance(
                        place.id(),
                        place.region(),
                        place.hall(),
                        settings.listen().peers(),
                        kind,
                        1L << 40,
                        false));
        agentSettings.put(place.id(), settings);
        startAgent(place.id());
    }

    /**
     * Starts an agent that has been added, again.
     *
     * @param id its name
     */
    public void startAgent(String id) {
        try {
            if (binary.isPresent()) {
                processes.put(id, launch("agent", id, agentSettings.get(id)));
            } else {
                agents.put(id, AgentProcess.start(agentSettings.get(id), faults));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Common.Platform platformServices() {
        String base = "http://" + platformAddress;
        return new Common.Platform(base + "/log", base + "/list", base + "/store", base + "/origin");
    }

    /** Puts all that has been added on the platform's list. */
    public void listAll() {
        platform.list(List.copyOf(instances.values()));
    }

    /**
     * Takes an instance off the platform's list.
     *
     * @param id the instance
     */
    public void unlist(String id) {
        instances.remove(id);
        listAll();
    }

    // -- reaching

    /**
     * The platform's stand-in.
     *
     * @return the stand-in
     */
    public PlatformStandin platform() {
        return platform;
    }

    /**
     * An engine.
     *
     * @param id its instance
     * @return the stand-in
     */
    public EngineStandin engine(String id) {
        return engines.get(id);
    }

    /**
     * An engine's address.
     *
     * @param id its instance
     * @return the base address
     */
    public String engineAddress(String id) {
        return agentSettings.get(id).endpoint().url();
    }

    /**
     * The names of the engines' instances.
     *
     * @return the names
     */
    public List<String> engineIds() {
        return new ArrayList<>(engines.keySet());
    }

    /**
     * A service.
     *
     * @param id its instance
     * @return the stand-in
     */
    public ServiceStandin service(String id) {
        return services.get(id);
    }

    /**
     * An agent.
     *
     * @param id its instance
     * @return the process
     */
    public AgentProcess agent(String id) {
        return agents.get(id);
    }

    /**
     * An entry.
     *
     * @param id its instance
     * @return the process
     */
    public EntryProcess entry(String id) {
        return entries.get(id);
    }

    /**
     * An entry's address for callers.
     *
     * @param id the entry
     * @return the base address
     */
    public String callers(String id) {
        return "http://" + entrySettings.get(id).listen().callers();
    }

    /**
     * An entry's address for operators.
     *
     * @param id the entry
     * @return the base address
     */
    public String operators(String id) {
        return "http://" + entrySettings.get(id).listen().operators();
    }

    /**
     * An agent's address for metrics.
     *
     * @param id the agent
     * @return the base address
     */
    public String watching(String id) {
        return "http://" + agentSettings.get(id).listen().operators();
    }

    @Override
    public void close() {
        processes.values().forEach(Process::destroyForcibly);
        entries.values().forEach(EntryProcess::kill);
        agents.values().forEach(AgentProcess::kill);
        engines.values().forEach(EngineStandin::close);
        services.values().forEach(ServiceStandin::close);
        platform.close();
    }
}
