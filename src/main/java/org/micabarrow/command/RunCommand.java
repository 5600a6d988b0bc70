package org.micabarrow.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import org.micabarrow.process.AgentProcess;
import org.micabarrow.process.EntryProcess;
import org.micabarrow.settings.AgentSettings;
import org.micabarrow.settings.Common;
import org.micabarrow.settings.EntrySettings;
import org.micabarrow.settings.SettingsReader;
import org.micabarrow.state.Result;

/** Runs a process until it is told to stop. SIGTERM makes it take no new work and finish what it has. */
abstract class RunCommand extends Command {

    @Parameter(names = "--settings", required = true, description = "The settings file")
    private String settings;

    Path settingsFile() {
        return Path.of(settings);
    }

    /** Starts a process from its settings. */
    @FunctionalInterface
    interface Start<S> {

        AutoCloseable from(S settings) throws IOException;
    }

    /** Runs a process with the settings that were read, or shows what is wrong with them. */
    static <S> ExitCode serve(Console console, Result<S> read, Function<S, Common.Logging> logging, Start<S> process)
            throws IOException, InterruptedException {
        if (read instanceof Result.Success<S>(S checked)) {
            Logs.setUp(logging.apply(checked));
            return serve(process.from(checked));
        }
        return console.show(read.cause().orElseThrow());
    }

    /** Waits for SIGTERM, then closes the process before the virtual machine ends. */
    static ExitCode serve(AutoCloseable process) throws InterruptedException {
        CountDownLatch never = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> close(process), "stop"));
        never.await();
        return ExitCode.OK;
    }

    private static void close(AutoCloseable process) {
        try {
            process.close();
        } catch (Exception e) {
            System.err.println("micabarrow: stopped uncleanly: " + e);
        }
        Logs.finish();
    }

    /** Runs an entry. */
    @Parameters(commandDescription = "Run an entry")
    static final class Entry extends RunCommand {

        @Override
        String example() {
            return "micabarrow entry --settings entry.jsonc";
        }

        @Override
        ExitCode run(Console console) throws IOException, InterruptedException {
            return serve(console, SettingsReader.entry(settingsFile()), EntrySettings::log, EntryProcess::start);
        }
    }

    /** Runs an agent. */
    @Parameters(commandDescription = "Run an agent beside an endpoint")
    static final class Agent extends RunCommand {

        @Override
        String example() {
            return "micabarrow agent --settings agent.jsonc";
        }

        @Override
        ExitCode run(Console console) throws IOException, InterruptedException {
            return serve(console, SettingsReader.agent(settingsFile()), AgentSettings::log, AgentProcess::start);
        }
    }
}
