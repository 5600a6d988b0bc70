package org.micabarrow.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.micabarrow.platform.SettingsFile;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpClient.HttpResponse;

/**
 * Starts an entry and an agent as processes of their own against stand-ins on loopback, sends a few requests and stops
 * them, so that the build can archive the classes that each of them loads.
 */
@Parameters(commandDescription = "Run an entry and an agent against stand-ins for a moment; the build archives classes")
final class RehearseCommand extends Command {

    /** How long an answer may take: more than the time-out of the stand-ins' routes, also on a busy machine. */
    private static final Duration WITHIN = Duration.ofSeconds(5);

    /** How often a request is sent until it is answered well: the entry first has to find the endpoints. */
    private static final int TRIES = 200;

    /** The pause between these, in milliseconds; all together they take twenty seconds. */
    private static final long AGAIN_MILLIS = 100;

    /** How long until the entry has told the agent of a change and was asked for it, in milliseconds: three of its questions. */
    private static final long TOLD_MILLIS = 450;

    /** How long a process may take to end, in seconds: it writes its archive then, which takes some five. */
    private static final long END_SECONDS = 120;

    private static final int OK = 200;

    @Parameter(names = "--entry", required = true, description = "The command of an entry, split at spaces")
    private String entryCommand;

    @Parameter(names = "--agent", required = true, description = "The command of an agent, split at spaces")
    private String agentCommand;

    @Override
    String example() {
        return "micabarrow rehearse --entry 'micabarrow hosted-entry' --agent 'micabarrow hosted-agent'";
    }

    @Override
    ExitCode run(Console console) throws Exception {
        try (HostedSystem platform = HostedSystem.start();
                HttpClient caller = HttpClient.start("rehearsal", 1)) {
            platform.addEndpoint("plain-1", "plain", 0);
            platform.addEndpoint("model-1", "models", 1);
            HostedSettings agent = platform.agentSettings("model-1");
            HostedSettings entry = platform.entrySettingsPolling(agent);
            List<Process> processes = List.of(begin(entryCommand, entry), begin(agentCommand, agent));
            boolean played = played(platform, caller, entry.listen().clients().orElseThrow());
            boolean ended = true;
            for (Process process : processes) {
                process.destroy();
                ended &= process.waitFor(END_SECONDS, TimeUnit.SECONDS);
            }
            console.out().println(played && ended ? "rehearsed" : "not served, not taken up or not ended");
            return played && ended ? ExitCode.OK : ExitCode.REFUSED;
        }
    }

    /** Has both processes do what they do in service, and tells whether all of it was done. */
    private static boolean played(HostedSystem platform, HttpClient caller, String clients)
            throws InterruptedException {
        platform.publishWeightVersion(2);
        boolean served = true;
        for (String path : List.of("/once/1", "/again/2", "/stream/3")) {
            served &= served(caller, clients, path);
        }
        boolean taken = holds(() -> platform.endpoint("model-1").version() == 2);
        platform.register("plain-1", "plain", 0, "draining");
        Thread.sleep(TOLD_MILLIS);
        return served && taken;
    }

    /** Starts a process as the platform does; SIGTERM stops it. */
    private static Process begin(String command, HostedSettings settings) throws IOException {
        Path file = Files.createTempFile("rehearsal", ".jsonc");
        file.toFile().deleteOnExit();
        Files.write(file, CanonicalJson.write(settings));
        ProcessBuilder process = new ProcessBuilder(List.of(command.trim().split(" +"))).inheritIO();
        process.environment().put(SettingsFile.VARIABLE, file.toString());
        return process.start();
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
