package org.micabarrow.platform.standin;

import io.undertow.server.HttpHandler;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.micabarrow.clock.MonotonicClock;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.platform.standin.HostedEndpointStandin.Behaviour;
import org.micabarrow.platform.standin.HostedEndpointStandin.Shutdown;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.standin.Ports;
import org.micabarrow.state.Fault;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpListener;
import org.micabarrow.views.VersionKeys;

/** Simulates the users' platform on loopback with a store, an origin and endpoints, and creates matching settings. */
public final class HostedSystem implements AutoCloseable {

    private static final String MODEL = "model-a";

    private final Queue<Behaviour> behaviours = new ConcurrentLinkedQueue<>();
    private final HostedStoreStandin store = new HostedStoreStandin();
    private final String storeAddress;
    private final String originAddress;
    private final Map<String, HostedEndpointStandin> endpoints = new ConcurrentHashMap<>();
    private final Map<String, String> addresses = new ConcurrentHashMap<>();
    private final Map<String, String> dataHalls = new ConcurrentHashMap<>();
    private final Map<String, Long> coldUntilMillis = new ConcurrentHashMap<>();
    private final Map<String, Long> startMillis = new HashMap<>();
    private final List<AutoCloseable> closeables = new ArrayList<>();
    private final AtomicInteger instances = new AtomicInteger();

    /** How many times each endpoint has registered, which its registrations state. */
    private final Map<String, Integer> registrations = new ConcurrentHashMap<>();

    private final EndpointListeners listeners = new EndpointListeners();
    private final AtomicLong newestVersion = new AtomicLong();
    private final Set<String> crashingBodies = ConcurrentHashMap.newKeySet();
    private final Set<String> crashingParts = ConcurrentHashMap.newKeySet();

    private HostedSystem() {
        this.storeAddress = startListener(store);
        this.originAddress = startListener(new HostedOriginStandin(newestVersion::get));
        closeables.add(listeners);
    }

    /**
     * Starts a platform with a manifest and without endpoints.
     *
     * @return the running platform
     */
    public static HostedSystem start() {
        HostedSystem system = new HostedSystem();
        system.publishManifest(1, "key-a", 2_000);
        return system;
    }

    private String startListener(HttpHandler handler) {
        String address = Ports.freeAddress();
        closeables.add(HttpListener.start(address, HttpListener.Limits.defaults(), 1, Optional.empty(), handler));
        return address;
    }

    // -- platform state

    /**
     * Returns the store stand-in.
     *
     * @return the stand-in
     */
    public HostedStoreStandin store() {
        return store;
    }

    /**
     * Enqueues a behaviour for the next request that any endpoint receives.
     *
     * @param behaviour the behaviour
     */
    public void enqueueBehaviour(Behaviour behaviour) {
        behaviours.add(behaviour);
    }

    /**
     * Returns the stand-in of an endpoint.
     *
     * @param id its id
     * @return the stand-in
     */
    public HostedEndpointStandin endpoint(String id) {
        return endpoints.get(id);
    }

    /**
     * Returns all endpoints, including those that have stopped.
     *
     * @return the stand-ins by their ids
     */
    public Map<String, HostedEndpointStandin> endpoints() {
        return Map.copyOf(endpoints);
    }

    /**
     * Returns the location of an endpoint.
     *
     * @param id its id
     * @return its host and port
     */
    public String address(String id) {
        return addresses.get(id);
    }

    /**
     * Publishes a manifest with one route of each kind: {@code /once/}, {@code /again/} and {@code /stream/}.
     *
     * @param version its version
     * @param key the only API key
     * @param timeoutMillis the timeout of all routes
     */
    public void publishManifest(long version, String key, long timeoutMillis) {
        publishManifest(version, key, timeoutMillis, 0);
    }

    /**
     * Publishes a manifest with additional routes.
     *
     * @param version its version
     * @param key the only API key
     * @param timeoutMillis the timeout of all routes
     * @param extraRoutes the number of additional routes
     */
    public void publishManifest(long version, String key, long timeoutMillis, int extraRoutes) {
        store.append(
                "keyed.op",
                "config",
                StandinManifest.render(version, MODEL, originAddress, key, timeoutMillis, extraRoutes));
    }

    /**
     * Publishes the desired weight version of the model.
     *
     * @param version the version
     */
    public void publishWeightVersion(long version) {
        newestVersion.accumulateAndGet(version, Math::max);
        store.append("keyed.op", "version/" + MODEL, "{\"model\":\"" + MODEL + "\",\"version\":" + version + "}");
    }

    /**
     * Returns whether a process has recorded the publication of a weight version in the store.
     *
     * @param version the version
     * @return true once it is recorded
     */
    public boolean hasStoredWeightVersion(long version) {
        return store.containsKey("keyed.micabarrow.versions", VersionKeys.ofVersion(MODEL, version));
    }

    /**
     * Returns whether a process has recorded the position of a manifest in the store.
     *
     * @param version the manifest's version
     * @return true once it is recorded
     */
    public boolean hasStoredManifestPosition(long version) {
        return store.containsKey("keyed.micabarrow.versions", VersionKeys.ofManifest(version));
    }

    /**
     * Starts an endpoint and registers it in the store.
     *
     * @param id its id
     * @param service its service
     * @param version the loaded weight version; 0 for none
     */
    public void addEndpoint(String id, String service, long version) {
        HostedEndpointStandin endpoint = new HostedEndpointStandin(id, MODEL, version, behaviours);
        endpoint.setCrashTrigger((body, promptParts) -> crashIfTriggered(body, promptParts, id, service, version));
        endpoints.put(id, endpoint);
        addresses.put(id, listeners.start(id, endpoint));
        register(id, service, version, "ready");
    }

    /**
     * Starts an endpoint in a data hall and registers it in the store.
     *
     * @param dataHall the data hall
     * @param id its id
     * @param service its service
     * @param version the loaded weight version; 0 for none
     */
    public void addEndpointIn(String dataHall, String id, String service, long version) {
        dataHalls.put(id, dataHall);
        addEndpoint(id, service, version);
    }

    /**
     * Returns the location of an endpoint.
     *
     * @param id its id
     * @return its data hall
     */
    public String dataHall(String id) {
        return dataHalls.getOrDefault(id, "hall-a");
    }

    /**
     * Makes further registrations of an endpoint state that it is cold.
     *
     * @param id its id
     * @param millis how long it stays cold, in milliseconds
     */
    public void setColdFor(String id, long millis) {
        coldUntilMillis.put(id, MonotonicClock.millis() + millis);
    }

    /**
     * Evacuates a data hall.
     *
     * @param dataHall the data hall
     */
    public void evacuate(String dataHall) {
        store.append("keyed.op", "evacuate/" + dataHall, "{}");
    }

    /**
     * Cancels the evacuation of a data hall.
     *
     * @param dataHall the data hall
     */
    public void cancelEvacuation(String dataHall) {
        store.append("keyed.op", "evacuate/" + dataHall, "");
    }

    // -- crashes

    /**
     * Makes every endpoint crash when it starts to execute a request with the given body. A replacement registers
     * immediately under a new id and address.
     *
     * @param body the body
     */
    public void crashOnBody(String body) {
        crashingBodies.add(body);
    }

    /**
     * Makes every endpoint crash when it starts to execute a request whose prompt holds a part, other than as its last
     * part. A replacement registers immediately under a new id and address.
     *
     * @param id the id of the part
     */
    public void crashOnPromptPart(String id) {
        crashingParts.add(id);
    }

    /**
     * Returns the number of endpoints that have crashed.
     *
     * @return their number
     */
    public int crashCount() {
        return listeners.stoppedCount();
    }

    /**
     * Returns the number of crash records that processes have published in the store.
     *
     * @return the number of records, one per crash and publishing process
     */
    public int publishedCrashCount() {
        return store.countKeys("keyed.micabarrow.crashes", "crash/");
    }

    private boolean crashIfTriggered(String body, List<String> promptParts, String id, String service, long version) {
        List<String> shared = promptParts.subList(0, Math.max(0, promptParts.size() - 1));
        if (!crashingBodies.contains(body) && Collections.disjoint(shared, crashingParts)) {
            return false;
        }
        if (crash(id)) {
            addEndpointIn(dataHall(id), id + "-" + listeners.stoppedCount(), service, version);
        }
        return true;
    }

    /**
     * Crashes an endpoint: closes its port and connections, so that requests in flight get no answer, and deletes its
     * registration.
     *
     * @param id its id
     * @return false if it was already stopped
     */
    public boolean crash(String id) {
        boolean ended = listeners.stop(id);
        if (ended) {
            store.append("keyed.servers", id, "");
        }
        return ended;
    }

    /**
     * Sets the start time that an endpoint states in further registrations, and in its reports if it runs in this
     * process.
     *
     * @param id its id
     * @param startedMillis the start time, in Unix milliseconds
     */
    public void setStartedMillis(String id, long startedMillis) {
        Optional.ofNullable(endpoints.get(id)).ifPresent(endpoint -> endpoint.setStartedMillis(startedMillis));
        startMillis.put(id, startedMillis);
    }

    /**
     * Restarts an endpoint under the same id and address, without registering it in the store.
     *
     * @param id its id
     * @param startedMillis the new start time, in Unix milliseconds
     * @param shutdown how it was shut down
     */
    public void restart(String id, long startedMillis, Shutdown shutdown) {
        endpoints.get(id).restart(startedMillis, shutdown);
        startMillis.put(id, startedMillis);
    }

    /**
     * Sets the address of an endpoint that runs outside this object.
     *
     * @param id its id
     * @param address its host and port
     */
    public void setAddress(String id, String address) {
        addresses.put(id, address);
    }

    /**
     * Registers an endpoint in the store, with its start time if one was set.
     *
     * @param id its id
     * @param service its service
     * @param version the loaded weight version; 0 for none
     * @param state {@code ready} or {@code draining}
     */
    public void register(String id, String service, long version, String state) {
        String models = version == 0 ? "" : "{\"name\":\"" + MODEL + "\",\"version\":" + version + "}";
        String started = startMillis.containsKey(id) ? ",\"born\":" + startMillis.get(id) : "";
        store.append(
                "keyed.servers",
                id,
                String.format(
                        Locale.ROOT,
                        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"slots\":16,\"state\":\"%s\","
                                + "\"sequence\":%d,\"models\":[%s]%s%s}",
                        service,
                        addresses.get(id),
                        dataHall(id),
                        state,
                        registrations.merge(id, 1, Integer::sum),
                        models,
                        started,
                        coldField(id)));
    }

    private String coldField(String id) {
        long leftMillis = coldUntilMillis.getOrDefault(id, 0L) - MonotonicClock.millis();
        return leftMillis > 0 ? ",\"cold_left_ms\":" + leftMillis : "";
    }

    /**
     * Creates a client request with the default API key and the headers required by its path.
     *
     * @param clients the client address of the entry
     * @param path the path and query
     * @param id the attempt id set by the client
     * @return the request
     */
    public static HttpCall request(String clients, String path, String id) {
        return request(clients, path, id, "a body");
    }

    /**
     * Creates a client request with the given body.
     *
     * @param clients the client address of the entry
     * @param path the path and query
     * @param id the attempt id set by the client
     * @param text the body
     * @return the request
     */
    public static HttpCall request(String clients, String path, String id, String text) {
        Map<String, String> headers =
                new HashMap<>(Map.of("Host", "h.example", "Key", "key-a", "Attempt-Id", id, "Deadline-Ms", "3000"));
        if (path.startsWith("/stream/")) {
            headers.put("Model", MODEL);
            headers.put("Token-Count", "100,20");
        }
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        return new HttpCall(
                Fault.Step.READ,
                "POST",
                URI.create("http://" + clients),
                Optional.of(path),
                HeaderFields.of(headers),
                body);
    }

    // -- matching settings

    /**
     * Creates the settings of an entry.
     *
     * @return the settings, with free addresses
     */
    public HostedSettings entrySettings() {
        return settings(Optional.of(Ports.freeAddress()), Optional.of(Ports.freeAddress()), Optional.empty());
    }

    /**
     * Creates the settings of an entry that polls an agent for the state of its endpoint.
     *
     * @param agent the agent's settings
     * @return the settings, otherwise with free addresses
     */
    public HostedSettings entrySettingsPolling(HostedSettings agent) {
        return StandinSettings.withPeerPort(entrySettings(), agent.peerPort());
    }

    /**
     * Creates the settings of an agent.
     *
     * @param endpoint the id of the endpoint on its instance
     * @return the settings, with free addresses
     */
    public HostedSettings agentSettings(String endpoint) {
        return settings(Optional.empty(), Optional.empty(), Optional.of(addresses.get(endpoint)));
    }

    private HostedSettings settings(Optional<String> clients, Optional<String> ready, Optional<String> endpoint) {
        return StandinSettings.withFreeAddresses(
                "instance-" + instances.incrementAndGet(), storeAddress, clients, ready, endpoint);
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable one : closeables) {
            one.close();
        }
    }
}
