package org.micabarrow.bench;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.micabarrow.command.Console;
import org.micabarrow.command.ExitCode;
import org.micabarrow.command.Main;
import org.micabarrow.protocol.OperatorMessages;
import org.micabarrow.standin.WeightsStandin;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Digest;

/** Runs operator commands against the entries of the demonstration and prints them. */
final class DemoOperator {

    private final Demo.Setup setup;
    private final PrintStream out;

    /**
     * Creates the operator.
     *
     * @param setup the processes that the script started
     * @param out the stream that commands and their output are printed to
     */
    DemoOperator(Demo.Setup setup, PrintStream out) {
        this.setup = setup;
        this.out = out;
    }

    /** Requests a plan of the demonstration's placements from the first entry and returns the plan's id. */
    String plan(WeightsStandin.GeneratedWeights assistant, WeightsStandin.GeneratedWeights notes) throws IOException {
        Path file = Path.of(setup.directory(), "intent.jsonc");
        Files.writeString(file, """
                // The placements of the demonstration.
                {
                  "organisations": [
                    { "name": "riders", "tokenDigest": "%s", "weight": 2 },
                    { "name": "vans", "tokenDigest": "%s" }
                  ],
                  "placements": [
                    { "name": "assistant", "target": { "type": "model", "name": "assistant", "version": "%s" },
                      "halls": ["norte-a", "centro-a"], "organisations": ["riders", "vans"], "replicas": 4,
                      "prefer": "time", "envelope": { "replacements": 1, "originBytes": 40000000 } },
                    { "name": "notes", "target": { "type": "model", "name": "notes", "version": "%s" },
                      "regions": ["sur"], "organisations": ["vans"], "replicas": 2, "prefer": "originBytes" },
                    { "name": "billing", "target": { "type": "service", "name": "billing", "repeatable": false },
                      "organisations": ["riders"], "replicas": 2 }
                  ]
                }
                """.formatted(
                Digest.of(Demo.RIDERS_TOKEN), Digest.of(Demo.VANS_TOKEN), assistant.version(), notes.version()));
        runAndPrint(0, "plan", "-f", file.toString());
        return runJson(OperatorMessages.PlanResponse.class, "plan", "-f", file.toString(), "--json")
                .id();
    }

    /** Runs a command without printing it and parses its JSON output. */
    private <T> T runJson(Class<T> type, String... arguments) throws IOException {
        ByteArrayOutputStream json = new ByteArrayOutputStream();
        Console quiet = new Console(new PrintStream(json, true, StandardCharsets.UTF_8), System.err);
        Main.run(quiet, withConnectionOptions(0, arguments));
        return CanonicalJson.read(json.toByteArray(), type);
    }

    private String[] withConnectionOptions(int entry, String... arguments) {
        List<String> all = new ArrayList<>(List.of(arguments));
        all.addAll(List.of("--entry", setup.operators().get(entry), "--token", setup.operatorToken()));
        return all.toArray(String[]::new);
    }

    /** Prints a command, runs it against an entry, and fails unless it succeeds. */
    void runAndPrint(int entry, String... arguments) {
        out.println("$ micabarrow " + String.join(" ", arguments));
        ExitCode code = Main.run(new Console(out, out), withConnectionOptions(entry, arguments));
        if (code != ExitCode.OK) {
            throw new IllegalStateException("command exited with " + code);
        }
    }

    /** Returns the status of all replicas without printing it. */
    OperatorMessages.Status status() throws IOException {
        return runJson(OperatorMessages.Status.class, "status", "--json");
    }

    /** Counts the replicas that are ready. */
    static long readyReplicaCount(OperatorMessages.Status status) {
        return status.replicas().stream()
                .filter(replica -> replica.state().equals("ready"))
                .count();
    }
}
