package org.micabarrow.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.micabarrow.coordination.weights.Weights;
import org.micabarrow.process.AgentProcess;
import org.micabarrow.process.EntryProcess;
import org.micabarrow.settings.AgentSettings;
import org.micabarrow.settings.EntrySettings;
import org.micabarrow.standin.Ports;
import org.micabarrow.state.CanonicalJson;

/** Starts the entries and agents of a local system, either inside this process or as separate processes. */
final class LocalProcesses implements AutoCloseable {

    private final Map<String, EntryProcess> entries = new LinkedHashMap<>();
    private final Map<String, AgentProcess> agents = new LinkedHashMap<>();
    private final Map<String, Process> processesById = new LinkedHashMap<>();
    private Optional<Path> binary = Optional.empty();
    private UnaryOperator<Weights> weightsWrapper = UnaryOperator.identity();

    /** Starts all further entries and agents as separate processes. */
    void useSeparateProcesses(Path program) {
        binary = Optional.of(program);
    }

    /** Wraps the weights clients of all agents started later. */
    void wrapWeights(UnaryOperator<Weights> wrapper) {
        weightsWrapper = wrapper;
    }

    // -- starting

    void startEntry(String id, EntrySettings settings) {
        try {
            if (binary.isPresent()) {
                processesById.put(id, launch(binary.get(), "entry", id, settings));
            } else {
                entries.put(id, EntryProcess.start(settings));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    void startAgent(String id, AgentSettings settings) {
        try {
            if (binary.isPresent()) {
                processesById.put(id, launch(binary.get(), "agent", id, settings));
            } else {
                // A replaced agent that was just killed may still be closing its port.
                Ports.awaitFree(settings.listen().peers());
                agents.put(id, AgentProcess.start(settings, weightsWrapper));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Process launch(Path program, String command, String id, Object settings) throws IOException {
        Path file = Files.createTempFile(id, ".jsonc");
        file.toFile().deleteOnExit();
        Files.writeString(file, CanonicalJson.pretty(settings));
        return new ProcessBuilder(program.toString(), command, "--settings", file.toString())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    // -- access

    EntryProcess entry(String id) {
        return entries.get(id);
    }

    AgentProcess agent(String id) {
        return agents.get(id);
    }

    /** Returns the separate process of an instance. */
    Process process(String id) {
        return processesById.get(id);
    }

    @Override
    public void close() {
        processesById.values().forEach(Process::destroyForcibly);
        entries.values().forEach(EntryProcess::kill);
        agents.values().forEach(AgentProcess::kill);
    }
}
