package org.micabarrow.command;

import com.beust.jcommander.Parameters;
import java.util.Optional;

/** Shows the version. */
@Parameters(commandDescription = "Show the version")
final class VersionCommand extends Command {

    @Override
    String example() {
        return "micabarrow version";
    }

    @Override
    ExitCode run(Console console) {
        String version = Optional.ofNullable(Main.class.getPackage().getImplementationVersion())
                .orElse("development");
        console.out().println("micabarrow " + version + " on Java " + Runtime.version());
        return ExitCode.OK;
    }
}
