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

/** Writes settings files for the demonstration's processes, using free ports. */
public final class DemoSettings {

    static final String OPERATOR_TOKEN = "token-of-an-operator";

    private static final long INSTANCE_BYTES_PER_SECOND = 16L << 20;
    private static final long ORIGIN_BYTES_PER_SECOND = 32L << 20;
    private static final long CAPACITY_BYTES = 256L << 20;
    private static final int ENTRIES = 2;

    private final Path directory;
    private final List<Instance> instances = new ArrayList<>();
    private final Map<String, String> endpoints = new LinkedHashMap<>();
    private final List<String> callers = new ArrayList<>();
    private final List<String> operators = new ArrayList<>();
    private final List<String> standinArguments = new ArrayList<>();
    private String platform = "";

    private DemoSettings(Path directory) {
        this.directory = directory;
    }

    /** Location and endpoint kind of an agent to configure. */
    private record AgentSpec(String id, String region, String hall, String kind) {}

    private static final List<AgentSpec> AGENTS = List.of(
            new AgentSpec("norte-a-1", "norte", "norte-a", Instance.ENGINE),
            new AgentSpec("norte-a-2", "norte", "norte-a", Instance.ENGINE),
            new AgentSpec("centro-a-1", "centro", "centro-a", Instance.ENGINE),
            new AgentSpec("centro-a-2", "centro", "centro-a", Instance.ENGINE),
            new AgentSpec("sur-a-1", "sur", "sur-a", Instance.ENGINE),
            new AgentSpec("sur-a-2", "sur", "sur-a", Instance.ENGINE),
            new AgentSpec("norte-a-3", "norte", "norte-a", "service:billing"),
            new AgentSpec("sur-a-3", "sur", "sur-a", "service:billing"));

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
        standinArguments.addAll(
                List.of("--platform", platform, "--origin-rate", Long.toString(ORIGIN_BYTES_PER_SECOND)));
        for (int i = 1; i <= ENTRIES; i++) {
            writeEntrySettings("entry-" + i);
        }
        for (AgentSpec spec : AGENTS) {
            writeAgentSettings(spec);
        }
        Files.writeString(directory.resolve("standin.args"), String.join(" ", standinArguments));
        Demo.Setup setup = new Demo.Setup(
                directory.toString(),
                "http://" + platform,
                callers,
                operators,
                OPERATOR_TOKEN,
                INSTANCE_BYTES_PER_SECOND,
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
        return Map.of(
                "originBytesPerSecond", ORIGIN_BYTES_PER_SECOND, "instanceBytesPerSecond", INSTANCE_BYTES_PER_SECOND);
    }

    private void writeEntrySettings(String id) throws IOException {
        String callerAddress = Ports.freeAddress();
        String operatorAddress = Ports.freeAddress();
        String peerAddress = Ports.freeAddress();
        callers.add("http://" + callerAddress);
        operators.add("http://" + operatorAddress);
        instances.add(new Instance(id, "centro", "centro-a", peerAddress, Instance.ENTRY, 0, false));
        write(
                id + ".jsonc",
                Map.of(
                        "instance", Map.of("id", id, "region", "centro", "hall", "centro-a"),
                        "listen", Map.of("callers", callerAddress, "operators", operatorAddress, "peers", peerAddress),
                        "platform", platformSettings(),
                        "operators", List.of(Map.of("name", "demo", "tokenDigest", Digest.of(OPERATOR_TOKEN))),
                        "links", links(),
                        "peers", Map.of("statusMillis", 200)));
    }

    private void writeAgentSettings(AgentSpec spec) throws IOException {
        String endpoint = Ports.freeAddress();
        String peerAddress = Ports.freeAddress();
        boolean engine = spec.kind().equals(Instance.ENGINE);
        standinArguments.addAll(List.of(engine ? "--engine" : "--service", endpoint));
        endpoints.put(spec.id(), "http://" + endpoint);
        instances.add(
                new Instance(spec.id(), spec.region(), spec.hall(), peerAddress, spec.kind(), CAPACITY_BYTES, false));
        write(
                "agent-" + spec.id() + ".jsonc",
                Map.of(
                        "instance", Map.of("id", spec.id(), "region", spec.region(), "hall", spec.hall()),
                        "listen", Map.of("operators", Ports.freeAddress(), "peers", peerAddress),
                        "platform", platformSettings(),
                        "endpoint", Map.of("kind", engine ? "engine" : "service", "url", "http://" + endpoint),
                        "links", links()));
    }

    private void write(String name, Object settings) throws IOException {
        Files.writeString(directory.resolve(name), CanonicalJson.pretty(settings));
    }
}
