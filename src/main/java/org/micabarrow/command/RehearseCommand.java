package org.micabarrow.command;

import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpClient.HttpResponse;

/**
 * Runs an entry and an agent against stand-ins on loopback and sends a few requests, so that the build can archive the
 * classes that processes load.
 */
@Parameters(commandDescription = "Run an entry and an agent against stand-ins for a moment; the build archives classes")
final class RehearseCommand extends Command {

    /** How long an answer may take: more than the time-out of the stand-ins' routes, also on a busy machine. */
    private static final Duration WITHIN = Duration.ofSeconds(5);

    /** How often a request is sent until it is answered well: the entry first has to find the endpoints. */
    private static final int TRIES = 100;

    /** The pause between these, in milliseconds; all together they take ten seconds. */
    private static final long AGAIN_MILLIS = 100;

    /** How long until the entry has told the agent of a change and was asked for it, in milliseconds: three of its questions. */
    private static final long TOLD_MILLIS = 450;

    private static final int OK = 200;

    @Override
    String example() {
        return "micabarrow rehearse";
    }

    @Override
    ExitCode run(Console console) throws Exception {
        try (HostedSystem platform = HostedSystem.start();
                HttpClient caller = HttpClient.start("rehearsal", 1)) {
            platform.add("plain-1", "plain", 0);
            platform.add("model-1", "models", 1);
            HostedSettings agent = platform.agent("model-1");
            HostedSettings entry = platform.entryAsking(agent);
            begin(console, new HostedCommand.Entry(), entry);
            begin(console, new HostedCommand.Agent(), agent);
            platform.nameWeights(2);
            String clients = entry.listen().clients().orElseThrow();
            boolean served = true;
            for (String path : List.of("/once/1", "/again/2", "/stream/3")) {
                served &= served(caller, clients, path);
            }
            boolean taken = holds(() -> platform.endpoint("model-1").version() == 2);
            platform.enter("plain-1", "plain", 0, "draining");
            Thread.sleep(TOLD_MILLIS);
            console.out().println(served && taken ? "rehearsed" : "not served or not taken up");
            return served && taken ? ExitCode.OK : ExitCode.REFUSED;
        }
    }

    /** Runs a process as the platform does, until the virtual machine ends, which stops it as SIGTERM does. */
    private static void begin(Console console, HostedCommand command, HostedSettings settings) throws IOException {
        Path file = Files.createTempFile("rehearsal", ".jsonc");
        file.toFile().deleteOnExit();
        Files.write(file, CanonicalJson.write(settings));
        Thread.ofPlatform().name(command.example()).daemon().start(() -> {
            try {
                command.with(file).run(console);
            } catch (IOException | InterruptedException e) {
                console.err().println("rehearsal: " + command.example() + ": " + e);
            }
        });
    }

    private static boolean holds(BooleanSupplier what) throws InterruptedException {
        for (int i = 0; i < TRIES && !what.getAsBoolean(); i++) {
            Thread.sleep(AGAIN_MILLIS);
        }
        return what.getAsBoolean();
    }

    private static boolean served(HttpClient caller, String clients, String path) throws InterruptedException {
        for (int i = 0; i < TRIES; i++) {
            HttpCall call = HostedSystem.request(clients, path, "attempt-" + i);
            Result<HttpResponse> answer = caller.call(call, WITHIN);
            if (answer.toOptional().filter(one -> one.status() == OK).isPresent()) {
                return true;
            }
            Thread.sleep(AGAIN_MILLIS);
        }
        return false;
    }
}
