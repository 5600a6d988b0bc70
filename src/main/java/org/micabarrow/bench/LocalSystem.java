package org.micabarrow.bench;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
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
import org.micabarrow.state.Instance;

/**
 * Runs entries, agents and stand-ins on loopback, by default in one process. Nodes communicate over real sockets as
 * separate processes would. For tests and benchmarks that need many nodes.
 */
public final class LocalSystem implements AutoCloseable {

    /** The bearer token of the only operator. */
    public static final String OPERATOR_TOKEN = "token-of-an-operator";

    private final LocalOptions options;
    private final PlatformStandin platform;
    private final String platformAddress;
    private final LocalProcesses processes = new LocalProcesses();
    private final Map<String, EntrySettings> entrySettings = new LinkedHashMap<>();
    private final Map<String, AgentSettings> agentSettings = new LinkedHashMap<>();
    private final Map<String, EngineStandin> engines = new LinkedHashMap<>();
    private final Map<String, ServiceStandin> services = new LinkedHashMap<>();
    private final Map<String, Instance> instances = new LinkedHashMap<>();
    private long statusMillis = 100;

    private LocalSystem(LocalOptions options) {
        this.options = Objects.requireNonNull(options, "options is null");
        this.platformAddress = Ports.freeAddress();
        this.platform =
                PlatformStandin.start(platformAddress, options.originBytesPerSecond(), options.storeBytesPerSecond());
    }

    /**
     * Starts entries and agents that are added later as separate processes.
     *
     * @param program the path of the executable
     */
    public void useSeparateProcesses(Path program) {
        processes.useSeparateProcesses(program);
    }

    /**
     * Returns the separate process of an instance.
     *
     * @param id its instance
     * @return the process
     */
    public Process process(String id) {
        return processes.process(id);
    }

    /**
     * Sets the status polling interval of entries and agents that are added later. Endpoint reports are polled twice as
     * often.
     *
     * @param millis the interval, 100 by default
     */
    public void setStatusIntervalMillis(long millis) {
        statusMillis = millis;
    }

    /**
     * Wraps the weights clients of agents started later, for example to inject faults.
     *
     * @param wrapper wraps the weights client of an agent
     */
    public void wrapWeights(UnaryOperator<Weights> wrapper) {
        processes.wrapWeights(wrapper);
    }

    /**
     * Starts the platform stand-in. Entries and agents are added afterwards.
     *
     * @param options the configuration
     * @return the system
     */
    public static LocalSystem start(LocalOptions options) {
        return new LocalSystem(options);
    }

    // -- adding

    private LocalSettings settings() {
        return new LocalSettings(options, platformAddress, statusMillis);
    }

    /**
     * Adds an entry.
     *
     * @param id its name
     * @param region its region
     * @param hall its data hall
     */
    public void addEntry(String id, String region, String hall) {
        EntrySettings settings = settings().entry(new Common.Place(id, region, hall));
        instances.put(id, new Instance(id, region, hall, settings.listen().peers(), Instance.ENTRY, 0, false));
        entrySettings.put(id, settings);
        startEntry(id);
    }

    /**
     * Restarts an entry that has been added.
     *
     * @param id its name
     */
    public void startEntry(String id) {
        processes.startEntry(id, entrySettings.get(id));
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
     * @param millis the duration of a call
     */
    public void addService(String id, String region, String hall, String service, long millis) {
        String address = Ports.freeAddress();
        services.put(id, ServiceStandin.start(address, millis));
        addAgent(new Common.Place(id, region, hall), "service:" + service, address);
    }

    private void addAgent(Common.Place place, String kind, String endpoint) {
        AgentSettings settings = settings().agent(place, kind, endpoint);
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
     * Restarts an agent that has been added.
     *
     * @param id its name
     */
    public void startAgent(String id) {
        processes.startAgent(id, agentSettings.get(id));
    }

    /** Publishes all added instances in the platform's instance list. */
    public void publishInstances() {
        platform.setInstances(List.copyOf(instances.values()));
    }

    /**
     * Removes an instance from the platform's instance list.
     *
     * @param id the instance
     */
    public void unlist(String id) {
        instances.remove(id);
        publishInstances();
    }

    // -- access

    /**
     * Returns the platform stand-in.
     *
     * @return the stand-in
     */
    public PlatformStandin platform() {
        return platform;
    }

    /**
     * Returns the engine stand-in of an instance.
     *
     * @param id its instance
     * @return the stand-in
     */
    public EngineStandin engine(String id) {
        return engines.get(id);
    }

    /**
     * Returns the base address of an engine.
     *
     * @param id its instance
     * @return the base address
     */
    public String engineAddress(String id) {
        return agentSettings.get(id).endpoint().url();
    }

    /**
     * Returns the ids of the instances with an engine.
     *
     * @return the ids
     */
    public List<String> engineIds() {
        return new ArrayList<>(engines.keySet());
    }

    /**
     * Returns the service stand-in of an instance.
     *
     * @param id its instance
     * @return the stand-in
     */
    public ServiceStandin service(String id) {
        return services.get(id);
    }

    /**
     * Returns the agent of an instance, if it runs in this process.
     *
     * @param id its instance
     * @return the process
     */
    public AgentProcess agent(String id) {
        return processes.agent(id);
    }

    /**
     * Returns the entry of an instance, if it runs in this process.
     *
     * @param id its instance
     * @return the process
     */
    public EntryProcess entry(String id) {
        return processes.entry(id);
    }

    /**
     * Returns the address on which an entry serves callers.
     *
     * @param id the entry
     * @return the base address
     */
    public String clientAddress(String id) {
        return "http://" + entrySettings.get(id).listen().callers();
    }

    /**
     * Returns the address on which an entry serves operators.
     *
     * @param id the entry
     * @return the base address
     */
    public String operatorAddress(String id) {
        return "http://" + entrySettings.get(id).listen().operators();
    }

    /**
     * Returns the address on which an agent serves metrics.
     *
     * @param id the agent
     * @return the base address
     */
    public String metricsAddress(String id) {
        return "http://" + agentSettings.get(id).listen().operators();
    }

    @Override
    public void close() {
        processes.close();
        engines.values().forEach(EngineStandin::close);
        services.values().forEach(ServiceStandin::close);
        platform.close();
    }
}
