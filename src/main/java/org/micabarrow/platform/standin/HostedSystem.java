package org.micabarrow.platform.standin;

import io.undertow.server.HttpHandler;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
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
import org.micabarrow.clock.MonotonicClock;
import org.micabarrow.platform.standin.HostedEndpointStandin.Behaviour;
import org.micabarrow.platform.standin.HostedEndpointStandin.Ending;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.standin.Ports;
import org.micabarrow.state.Fault;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpListener;
import org.micabarrow.views.VersionKeys;

/** The users' platform in small, on loopback: a store, an origin and endpoints, with the settings that fit them. */
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
    private final Map<String, Long> starts = new HashMap<>();
    private final List<AutoCloseable> running = new ArrayList<>();
    private final AtomicInteger instances = new AtomicInteger();
    private final EndpointHosts hosts = new EndpointHosts();
    private final Set<String> crashingBodies = ConcurrentHashMap.newKeySet();

    private HostedSystem() {
        this.storeAddress = serve(store);
        this.originAddress = serve(new HostedOriginStandin());
        running.add(hosts);
    }

    /**
     * Starts a platform with a manifest and no endpoints.
     *
     * @return the running platform
     */
    public static HostedSystem start() {
        HostedSystem system = new HostedSystem();
        system.manifest(1, "key-a", 2_000);
        return system;
    }

    private String serve(HttpHandler handler) {
        String address = Ports.freeAddress();
        running.add(HttpListener.start(address, HttpListener.Limits.defaults(), 1, Optional.empty(), handler));
        return address;
    }

    // -- what the platform holds

    /**
     * The store.
     *
     * @return the stand-in
     */
    public HostedStoreStandin store() {
        return store;
    }

    /**
     * What the next endpoint that receives a request does with it, whichever that is.
     *
     * @param next the behaviour
     */
    public void next(Behaviour next) {
        behaviours.add(next);
    }

    /**
     * An endpoint.
     *
     * @param id its id
     * @return the stand-in
     */
    public HostedEndpointStandin endpoint(String id) {
        return endpoints.get(id);
    }

    /**
     * All endpoints that have ever been there.
     *
     * @return the stand-ins by their ids
     */
    public Map<String, HostedEndpointStandin> endpoints() {
        return Map.copyOf(endpoints);
    }

    /**
     * Where an endpoint is.
     *
     * @param id its id
     * @return its host and port
     */
    public String address(String id) {
        return addresses.get(id);
    }

    /**
     * Writes a manifest with one route of each kind: {@code /once/}, {@code /again/} and {@code /stream/}.
     *
     * @param version its version
     * @param key the one key
     * @param timeoutMillis the time-out of all routes
     */
    public void manifest(long version, String key, long timeoutMillis) {
        manifest(version, key, timeoutMillis, 0);
    }

    /**
     * Writes a manifest with more routes than those.
     *
     * @param version its version
     * @param key the one key
     * @param timeoutMillis the time-out of all routes
     * @param moreRoutes how many it has besides
     */
    public void manifest(long version, String key, long timeoutMillis, int moreRoutes) {
        store.append(
                "keyed.op",
                "config",
                StandinManifest.text(version, MODEL, originAddress, key, timeoutMillis, moreRoutes));
    }

    /**
     * Names a weight version of the model that is wanted.
     *
     * @param version the version
     */
    public void nameWeights(long version) {
        store.append("keyed.op", "version/" + MODEL, "{\"model\":\"" + MODEL + "\",\"version\":" + version + "}");
    }

    /**
     * Whether a process has kept in the store that a weight version was named.
     *
     * @param version the version
     * @return true once it is kept
     */
    public boolean keepsWeights(long version) {
        return store.written("keyed.micabarrow.versions", VersionKeys.ofVersion(MODEL, version));
    }

    /**
     * Whether a process has kept in the store where a manifest stands.
     *
     * @param version the manifest's version
     * @return true once it is kept
     */
    public boolean keepsManifest(long version) {
        return store.written("keyed.micabarrow.versions", VersionKeys.ofManifest(version));
    }

    /**
     * Starts an endpoint and enters it in the store.
     *
     * @param id its id
     * @param service its service
     * @param version the weight version that it holds; 0 for none
     */
    public void add(String id, String service, long version) {
        HostedEndpointStandin endpoint = new HostedEndpointStandin(id, MODEL, version, behaviours);
        endpoint.crash(body -> crashesBy(body, id, service, version));
        endpoints.put(id, endpoint);
        addresses.put(id, hosts.serve(id, endpoint));
        enter(id, service, version, "ready");
    }

    /**
     * Starts an endpoint in a data hall and enters it in the store.
     *
     * @param dataHall the data hall
     * @param id its id
     * @param service its service
     * @param version the weight version that it holds; 0 for none
     */
    public void addIn(String dataHall, String id, String service, long version) {
        dataHalls.put(id, dataHall);
        add(id, service, version);
    }

    /**
     * Where an endpoint is.
     *
     * @param id its id
     * @return its data hall
     */
    public String dataHall(String id) {
        return dataHalls.getOrDefault(id, "hall-a");
    }

    /**
     * Has an endpoint state in its entries that it is cold.
     *
     * @param id its id
     * @param millis for how long from now on
     */
    public void coldFor(String id, long millis) {
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
     * Takes the evacuation of a data hall back.
     *
     * @param dataHall the data hall
     */
    public void takeBack(String dataHall) {
        store.append("keyed.op", "evacuate/" + dataHall, "");
    }

    // -- crashes

    /**
     * Has every endpoint crash from now on when it begins to run a request with a body. It is back at once, under a new id and at
     * another address.
     *
     * @param body the body
     */
    public void crashOn(String body) {
        crashingBodies.add(body);
    }

    /**
     * How many endpoints have crashed.
     *
     * @return their number
     */
    public int crashes() {
        return hosts.ended();
    }

    /**
     * How many crashes processes have told each other of through the store.
     *
     * @return their number, each counted once for each process that told it
     */
    public int crashesTold() {
        return store.keys("keyed.micabarrow.crashes", "crash/");
    }

    private boolean crashesBy(String body, String id, String service, long version) {
        if (!crashingBodies.contains(body)) {
            return false;
        }
        if (crash(id)) {
            addIn(dataHall(id), id + "-" + hosts.ended(), service, version);
        }
        return true;
    }

    /**
     * Ends an endpoint's process without a word: its port is dead, and what was under way there has no answer.
     *
     * @param id its id
     * @return false if it had ended before
     */
    public boolean crash(String id) {
        boolean ended = hosts.end(id);
        if (ended) {
            store.append("keyed.servers", id, "");
        }
        return ended;
    }

    /**
     * Has an endpoint tell when it was started, in its entries from now on, and in its report if it runs here.
     *
     * @param id its id
     * @param startedMillis the Unix millisecond of its start
     */
    public void startedAt(String id, long startedMillis) {
        Optional.ofNullable(endpoints.get(id)).ifPresent(endpoint -> endpoint.startedAt(startedMillis));
        starts.put(id, startedMillis);
    }

    /**
     * Ends an endpoint and starts it again under its id, at its address. It enters itself in the store when told so.
     *
     * @param id its id
     * @param startedMillis the Unix millisecond of the new start
     * @param ending how it ended
     */
    public void startAgain(String id, long startedMillis, Ending ending) {
        endpoints.get(id).startAgain(startedMillis, ending);
        starts.put(id, startedMillis);
    }

    /**
     * Says where an endpoint is that somebody else runs.
     *
     * @param id its id
     * @param address its host and port
     */
    public void place(String id, String address) {
        addresses.put(id, address);
    }

    /**
     * Writes an endpoint's entry, with its start if it started again.
     *
     * @param id its id
     * @param service its service
     * @param version the weight version that it holds; 0 for none
     * @param state {@code ready} or {@code draining}
     */
    public void enter(String id, String service, long version, String state) {
        String models = version == 0 ? "" : "{\"name\":\"" + MODEL + "\",\"version\":" + version + "}";
        String started = starts.containsKey(id) ? ",\"born\":" + starts.get(id) : "";
        store.append(
                "keyed.servers",
                id,
                String.format(
                        Locale.ROOT,
                        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"slots\":16,\"state\":\"%s\","
                                + "\"models\":[%s]%s%s}",
                        service,
                        addresses.get(id),
                        dataHall(id),
                        state,
                        models,
                        started,
                        cold(id)));
    }

    private String cold(String id) {
        long leftMillis = coldUntilMillis.getOrDefault(id, 0L) - MonotonicClock.millis();
        return leftMillis > 0 ? ",\"cold_left_ms\":" + leftMillis : "";
    }

    /**
     * A client's request, with the one key and the headers that its path needs.
     *
     * @param clients where the entry listens for clients
     * @param path the path and query
     * @param id the client's id of the attempt
     * @return the request
     */
    public static HttpCall request(String clients, String path, String id) {
        return request(clients, path, id, "a body");
    }

    /**
     * A client's request with a body of its own.
     *
     * @param clients where the entry listens for clients
     * @param path the path and query
     * @param id the client's id of the attempt
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
        return new HttpCall(Fault.Step.READ, "POST", URI.create("http://" + clients), Optional.of(path), headers, body);
    }

    // -- settings that fit

    /**
     * The settings of an entry.
     *
     * @return the settings, with free addresses
     */
    public HostedSettings entry() {
        return settings(Optional.of(Ports.freeAddress()), Optional.of(Ports.freeAddress()), Optional.empty());
    }

    /**
     * The settings of an entry that asks an agent how its endpoint is.
     *
     * @param agent the agent's settings
     * @return the settings, with free addresses otherwise
     */
    public HostedSettings entryAsking(HostedSettings agent) {
        return StandinSettings.asking(entry(), agent.peerPort());
    }

    /**
     * The settings of an agent.
     *
     * @param endpoint the id of the endpoint beside it
     * @return the settings, with free addresses
     */
    public HostedSettings agent(String endpoint) {
        return settings(Optional.empty(), Optional.empty(), Optional.of(addresses.get(endpoint)));
    }

    private HostedSettings settings(Optional<String> clients, Optional<String> ready, Optional<String> endpoint) {
        return StandinSettings.of("instance-" + instances.incrementAndGet(), storeAddress, clients, ready, endpoint);
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable one : running) {
            one.close();
        }
    }
}
