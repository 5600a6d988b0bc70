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

/** The operator of the demonstration: runs the product's commands against its entries and prints them. */
final class DemoOperator {

    private final Demo.Setup setup;
    private final PrintStream out;

    /**
     * Makes the operator.
     *
     * @param setup what the script has started
     * @param out where commands and their output go
     */
    DemoOperator(Demo.Setup setup, PrintStream out) {
        this.setup = setup;
        this.out = out;
    }

    /** Asks the first entry for a plan of the demonstration's placements, and gives its id. */
    String plan(WeightsStandin.Done assistant, WeightsStandin.Done notes) throws IOException {
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

    /** What a command gives as JSON. */
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

    /** Runs a command against an entry, and shows it. */
    void runAndPrint(int entry, String... arguments) {
        out.println("$ micabarrow " + String.join(" ", arguments));
        ExitCode code = Main.run(new Console(out, out), withConnectionOptions(entry, arguments));
        if (code != ExitCode.OK) {
            throw new IllegalStateException("the command ended with " + code);
        }
    }

    /** The status of all replicas, without showing it. */
    OperatorMessages.Status status() throws IOException {
        return runJson(OperatorMessages.Status.class, "status", "--json");
    }

    /** How many replicas are ready. */
    static long readyReplicaCount(OperatorMessages.Status status) {
        return status.replicas().stream()
                .filter(replica -> replica.state().equals("ready"))
                .count();
    }
}
