package org.micabarrow.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.micabarrow.standin.Ports;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Digest;
import org.micabarrow.state.Instance;

/** Writes the settings of the demonstration's processes, on ports that are free. */
public final class DemoSettings {

    static final String OPERATOR_TOKEN = "token-of-an-operator";

    private static final long INSTANCE_RATE = 16L << 20;
    private static final long ORIGIN_RATE = 32L << 20;
    private static final long CAPACITY_BYTES = 256L << 20;
    private static final int ENTRIES = 2;

    private final Path directory;
    private final List<Instance> instances = new ArrayList<>();
    private final Map<String, String> endpoints = new LinkedHashMap<>();
    private final List<String> callers = new ArrayList<>();
    private final List<String> operators = new ArrayList<>();
    private final List<String> standin = new ArrayList<>();
    private String platform = "";

    private DemoSettings(Path directory) {
        this.directory = directory;
    }

    /** An agent to be: its place and its endpoint. */
    private record Wanted(String id, String region, String hall, String kind) {}

    private static final List<Wanted> AGENTS = List.of(
            new Wanted("norte-a-1", "norte", "norte-a", Instance.ENGINE),
            new Wanted("norte-a-2", "norte", "norte-a", Instance.ENGINE),
            new Wanted("centro-a-1", "centro", "centro-a", Instance.ENGINE),
            new Wanted("centro-a-2", "centro", "centro-a", Instance.ENGINE),
            new Wanted("sur-a-1", "sur", "sur-a", Instance.ENGINE),
            new Wanted("sur-a-2", "sur", "sur-a", Instance.ENGINE),
            new Wanted("norte-a-3", "norte", "norte-a", "service:billing"),
            new Wanted("sur-a-3", "sur", "sur-a", "service:billing"));

    /**
     * Writes the files.
     *
     * @param arguments the directory to write to
     * @throws IOException if they cannot be written
     */
    public static void main(String[] arguments) throws IOException {
        new DemoSettings(Path.of(arguments[0])).write();
    }

    private void write() throws IOException {
        platform = Ports.freeAddress();
        standin.addAll(List.of("--platform", platform, "--origin-rate", Long.toString(ORIGIN_RATE)));
        for (int i = 1; i <= ENTRIES; i++) {
            entry("entry-" + i);
        }
        for (Wanted wanted : AGENTS) {
            agent(wanted);
        }
        Files.writeString(directory.resolve("standin.args"), String.join(" ", standin));
        Demo.Setup setup = new Demo.Setup(
                directory.toString(),
                "http://" + platform,
                callers,
                operators,
                OPERATOR_TOKEN,
                INSTANCE_RATE,
                instances,
                endpoints);
        Files.write(directory.resolve("setup.json"), CanonicalJson.write(setup));
    }

    private Map<String, String> platformSettings() {
        String base = "http://" + platform;
        return Map.of(
                "log",
                base + "/log",
                "instances",
                base + "/list",
                "store",
                base + "/store",
                "origin",
                base + "/origin");
    }

    private static Map<String, Long> links() {
        return Map.of("originBytesPerSecond", ORIGIN_RATE, "instanceBytesPerSecond", INSTANCE_RATE);
    }

    private void entry(String id) throws IOException {
        String callersAt = Ports.freeAddress();
        String operatorsAt = Ports.freeAddress();
        String peersAt = Ports.freeAddress();
        callers.add("http://" + callersAt);
        operators.add("http://" + operatorsAt);
        instances.add(new Instance(id, "centro", "centro-a", peersAt, Instance.ENTRY, 0, false));
        write(
                id + ".jsonc",
                Map.of(
                        "instance", Map.of("id", id, "region", "centro", "hall", "centro-a"),
                        "listen", Map.of("callers", callersAt, "operators", operatorsAt, "peers", peersAt),
                        "platform", platformSettings(),
                        "operators", List.of(Map.of("name", "demo", "tokenDigest", Digest.of(OPERATOR_TOKEN))),
                        "links", links(),
                        "peers", Map.of("statusMillis", 200)));
    }

    private void agent(Wanted wanted) throws IOException {
        String endpoint = Ports.freeAddress();
        String peersAt = Ports.freeAddress();
        boolean engine = wanted.kind().equals(Instance.ENGINE);
        standin.addAll(List.of(engine ? "--engine" : "--service", endpoint));
        endpoints.put(wanted.id(), "http://" + endpoint);
        instances.add(new Instance(
                wanted.id(), wanted.region(), wanted.hall(), peersAt, wanted.kind(), CAPACITY_BYTES, false));
        write(
                "agent-" + wanted.id() + ".jsonc",
                Map.of(
                        "instance", Map.of("id", wanted.id(), "region", wanted.region(), "hall", wanted.hall()),
                        "listen", Map.of("operators", Ports.freeAddress(), "peers", peersAt),
                        "platform", platformSettings(),
                        "endpoint", Map.of("kind", engine ? "engine" : "service", "url", "http://" + endpoint),
                        "links", links()));
    }

    private void write(String name, Object settings) throws IOException {
        Files.writeString(directory.resolve(name), CanonicalJson.pretty(settings));
    }
}
