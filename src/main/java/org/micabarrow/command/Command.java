package org.micabarrow.command;

import com.beust.jcommander.Parameter;

/** A subcommand. Its options are fields that the command line fills. */
abstract class Command {

    @Parameter(
            names = {"-h", "--help"},
            description = "Show this help",
            help = true)
    private boolean help;

    boolean helpWanted() {
        return help;
    }

    /** A call of this command that works, for its help. */
    abstract String example();

    /** Does the work, and gives the exit code. */
    abstract ExitCode run(Console console) throws Exception;
}
