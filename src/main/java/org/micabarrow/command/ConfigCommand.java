package org.micabarrow.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.micabarrow.settings.IntentReader;
import org.micabarrow.settings.SettingsReader;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;

/** Checks settings and intents without starting anything. */
@Parameters(commandDescription = "Check settings or an intent: config check --entry|--agent|--intent FILE")
final class ConfigCommand extends Command {

    @Parameter(description = "check")
    private List<String> words = new ArrayList<>();

    @Parameter(names = "--entry", description = "An entry's settings")
    private String entry;

    @Parameter(names = "--agent", description = "An agent's settings")
    private String agent;

    @Parameter(names = "--intent", description = "An intent")
    private String intent;

    @Override
    String example() {
        return "micabarrow config check --entry entry.jsonc";
    }

    @Override
    ExitCode run(Console console) {
        if (!words.equals(List.of("check")) || entry == null && agent == null && intent == null) {
            console.err().println("micabarrow: the call is: config check --entry|--agent|--intent FILE");
            return ExitCode.USAGE;
        }
        List<Result<?>> results = new ArrayList<>();
        if (entry != null) {
            results.add(SettingsReader.entry(Path.of(entry)));
        }
        if (agent != null) {
            results.add(SettingsReader.agent(Path.of(agent)));
        }
        if (intent != null) {
            results.add(SettingsReader.bytes(Path.of(intent), Fault.Step.INTENT)
                    .flatMap(bytes -> IntentReader.read(intent, bytes)));
        }
        for (Result<?> result : results) {
            if (result instanceof Result.Failure<?>(Fault fault)) {
                return console.show(fault);
            }
        }
        console.out().println("in order");
        return ExitCode.OK;
    }
}
