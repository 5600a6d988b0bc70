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

/** The entries and agents of a local system, inside this process or each as a process of its own. */
final class LocalProcesses implements AutoCloseable {

    private final Map<String, EntryProcess> entries = new LinkedHashMap<>();
    private final Map<String, AgentProcess> agents = new LinkedHashMap<>();
    private final Map<String, Process> processesById = new LinkedHashMap<>();
    private Optional<Path> binary = Optional.empty();
    private UnaryOperator<Weights> weightsWrapper = UnaryOperator.identity();

    /** Lets what is started from now on run as processes of their own. */
    void processesById(Path program) {
        binary = Optional.of(program);
    }

    /** Tampers with the weights that agents started from now on read. */
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
                // It may stand in for one that was killed just now.
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

    // -- reaching

    EntryProcess entry(String id) {
        return entries.get(id);
    }

    AgentProcess agent(String id) {
        return agents.get(id);
    }

    /** A process of its own. */
    Process processesById(String id) {
        return processesById.get(id);
    }

    @Override
    public void close() {
        processesById.values().forEach(Process::destroyForcibly);
        entries.values().forEach(EntryProcess::kill);
        agents.values().forEach(AgentProcess::kill);
    }
}
