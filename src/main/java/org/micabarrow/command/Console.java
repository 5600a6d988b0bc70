package org.micabarrow.command;

import java.io.PrintStream;
import java.util.Objects;
import org.micabarrow.state.Fault;

/**
 * Where a command writes.
 *
 * @param out results
 * @param err errors
 */
public record Console(PrintStream out, PrintStream err) {

    /** Checks the parts. */
    public Console {
        Objects.requireNonNull(out, "out is null");
        Objects.requireNonNull(err, "err is null");
    }

    /** Shows a fault, and gives the exit code that goes with it. */
    ExitCode show(Fault fault) {
        err.println("micabarrow: " + fault);
        return switch (fault.reason()) {
            case UNREACHABLE, TIMEOUT -> ExitCode.UNREACHABLE;
            case INVALID, NOT_FOUND ->
                fault.step() == Fault.Step.SETTINGS || fault.step() == Fault.Step.INTENT
                        ? ExitCode.USAGE
                        : ExitCode.REFUSED;
            default -> ExitCode.REFUSED;
        };
    }
}
