package org.micabarrow.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import org.micabarrow.platform.SettingsFile;
import org.micabarrow.process.HostedAgentProcess;
import org.micabarrow.process.HostedEntryProcess;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.settings.SettingsReader;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/** Runs a process on the users' platform, which fills its settings into a template and names the file in a variable. */
abstract class HostedCommand extends Command {

    private static final Logger LOG = LoggerFactory.getLogger(HostedCommand.class);

    @Parameter(names = "--settings", description = "The settings file; else the variable " + SettingsFile.VARIABLE)
    private String settings;

    /** Starts the process. */
    abstract AutoCloseable start(HostedSettings checked) throws IOException;

    @Override
    ExitCode run(Console console) throws IOException, InterruptedException {
        Optional<Path> file = Optional.ofNullable(settings).map(Path::of).or(SettingsFile::named);
        if (file.isEmpty()) {
            console.err().println("micabarrow: give --settings or set " + SettingsFile.VARIABLE);
            return ExitCode.USAGE;
        }
        return switch (SettingsReader.hosted(file.get())) {
            case Result.Failure<HostedSettings>(Fault fault) -> console.show(fault);
            case Result.Success<HostedSettings>(HostedSettings checked) -> {
                Logs.setUp(checked.log());
                Signal.handle(new Signal("HUP"), signal -> reload(file.get(), checked));
                yield RunCommand.serve(start(checked));
            }
        };
    }

    /** Reads the settings again. Addresses and limits hold for the life of a process, so a change is only reported. */
    private static void reload(Path file, HostedSettings before) {
        switch (SettingsReader.hosted(file)) {
            case Result.Failure<HostedSettings>(Fault fault) ->
                LOG.error("event=reload_refused kept=last why=\"{}\"", fault);
            case Result.Success<HostedSettings>(HostedSettings now) ->
                LOG.info("event=reloaded changed={}", !now.equals(before));
        }
    }

    /** Runs an entry. */
    @Parameters(commandDescription = "Run an entry on the users' platform")
    static final class Entry extends HostedCommand {

        @Override
        String example() {
            return "micabarrow hosted-entry --settings entry.jsonc";
        }

        @Override
        AutoCloseable start(HostedSettings checked) throws IOException {
            return HostedEntryProcess.start(checked);
        }
    }

    /** Runs an agent. */
    @Parameters(commandDescription = "Run an agent beside an endpoint on the users' platform")
    static final class Agent extends HostedCommand {

        @Override
        String example() {
            return "micabarrow hosted-agent --settings agent.jsonc";
        }

        @Override
        AutoCloseable start(HostedSettings checked) throws IOException {
            return HostedAgentProcess.start(checked);
        }
    }
}
