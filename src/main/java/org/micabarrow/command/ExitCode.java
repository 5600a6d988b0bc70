package org.micabarrow.command;

/** The exit codes, the same for all subcommands. */
public enum ExitCode {
    OK(0),
    REFUSED(1),
    USAGE(2),
    UNREACHABLE(3);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /**
     * The number that the operating system sees.
     *
     * @return the exit code
     */
    public int number() {
        return number;
    }
}
