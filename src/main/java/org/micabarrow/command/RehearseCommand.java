package org.micabarrow.command;

import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.process.HostedAgentProcess;
import org.micabarrow.process.HostedEntryProcess;
import org.micabarrow.settings.Common;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.settings.SettingsReader;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpCaller;
import org.micabarrow.transport.HttpCaller.HttpAnswer;

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

    private static final int OK = 200;

    @Override
    String example() {
        return "micabarrow rehearse";
    }

    @Override
    ExitCode run(Console console) throws Exception {
        Logs.setUp(new Common.Logging("text", "info"));
        try (HostedSystem platform = HostedSystem.start();
                HttpCaller caller = HttpCaller.start("rehearsal", 1)) {
            platform.add("plain-1", "plain", 0);
            platform.add("model-1", "models", 1);
            HostedSettings settings = throughFile(platform.entry());
            HostedEntryProcess entry = HostedEntryProcess.start(settings);
            HostedAgentProcess agent = HostedAgentProcess.start(platform.agent("model-1"));
            platform.nameWeights(2);
            String clients = settings.listen().clients().orElseThrow();
            boolean served = true;
            for (String path : List.of("/once/1", "/again/2", "/stream/3")) {
                served &= served(caller, clients, path);
            }
            entry.close();
            agent.close();
            console.out().println(served ? "rehearsed" : "not served");
            return served ? ExitCode.OK : ExitCode.REFUSED;
        }
    }

    /** Writes the settings to a file and reads them as a process does. */
    private static HostedSettings throughFile(HostedSettings settings) throws IOException {
        Path file = Files.createTempFile("rehearsal", ".jsonc");
        try {
            Files.write(file, CanonicalJson.write(settings));
            return SettingsReader.hosted(file)
                    .toOptional()
                    .orElseThrow(() -> new IllegalStateException("the settings do not read back"));
        } finally {
            Files.delete(file);
        }
    }

    private static boolean served(HttpCaller caller, String clients, String path) throws InterruptedException {
        for (int i = 0; i < TRIES; i++) {
            HttpCall call = HostedSystem.request(clients, path, "attempt-" + i);
            Result<HttpAnswer> answer = caller.call(call, WITHIN);
            if (answer.toOptional().filter(one -> one.status() == OK).isPresent()) {
                return true;
            }
            Thread.sleep(AGAIN_MILLIS);
        }
        return false;
    }
}
