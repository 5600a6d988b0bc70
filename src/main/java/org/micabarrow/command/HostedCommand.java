package org.micabarrow.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.Supplier;
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

    /** The same command with its settings in a file. */
    HostedCommand with(Path file) {
        settings = file.toString();
        return this;
    }

    /** Starts the process. */
    abstract AutoCloseable start(HostedSettings checked) throws IOException;

    @Override
    ExitCode run(Console console) throws IOException, InterruptedException {
        Optional<Path> file = Optional.ofNullable(settings).map(Path::of).or(SettingsFile::named);
        if (file.isEmpty()) {
            console.err().println("micabarrow: give --settings or set " + SettingsFile.VARIABLE);
            return ExitCode.USAGE;
        }
        return run(console, () -> SettingsReader.hosted(file.get()));
    }

    private ExitCode run(Console console, Supplier<Result<HostedSettings>> read)
            throws IOException, InterruptedException {
        return switch (read.get()) {
            case Result.Failure<HostedSettings>(Fault fault) -> console.show(fault);
            case Result.Success<HostedSettings>(HostedSettings checked) -> {
                Logs.setUp(checked.log());
                Signal.handle(new Signal("HUP"), signal -> tell(read.get().map(now -> !now.equals(checked))));
                yield RunCommand.serve(start(checked));
            }
        };
    }

    /** Tells whether settings that were read again differ. Addresses and limits hold for the life of a process. */
    private static void tell(Result<Boolean> changed) {
        changed.cause().ifPresent(fault -> LOG.error("event=reload_refused kept=last why=\"{}\"", fault));
        changed.toOptional().ifPresent(differs -> LOG.info("event=reloaded changed={}", differs));
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
