package org.micabarrow.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.Locale;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.protocol.OperatorMessages;
import org.micabarrow.state.Result;

/** Shows each replica's state and progress. */
@Parameters(commandDescription = "Show each replica's state and progress")
final class StatusCommand extends OperatorCommand {

    /** The length of the bar that shows progress, in characters. */
    private static final int BAR_CHARACTERS = 24;

    /** How often status is asked for while it is watched, in milliseconds. */
    private static final long WATCH_MILLIS = 500;

    /** How many characters of a version are shown. */
    private static final int SHORT_VERSION_CHARACTERS = 12;

    @Parameter(names = "--watch", description = "Show it again and again until every replica is ready")
    private boolean watch;

    @Override
    String example() {
        return "micabarrow status --watch";
    }

    @Override
    ExitCode run(Console console) throws InterruptedException {
        while (true) {
            Result<OperatorMessages.Status> status =
                    ask("GET", "/status", new byte[0], HeaderFields.empty(), OperatorMessages.Status.class);
            ExitCode code = print(console, status, answer -> show(console, answer));
            boolean done = status.toOptional()
                    .map(answer -> answer.replicas().stream()
                            .allMatch(replica -> replica.state().equals("ready")))
                    .orElse(true);
            if (!watch || done) {
                return code;
            }
            Thread.sleep(WATCH_MILLIS);
        }
    }

    private static void show(Console console, OperatorMessages.Status status) {
        console.out()
                .println("entry " + status.entry() + ", generation " + status.generation() + ", log heard "
                        + status.logSilentMillis() + " ms ago, " + status.waiting() + " requests wait"
                        + (status.stopped().isEmpty() ? "" : ", STOPPED: " + status.stopped()));
        status.replicas().forEach(replica -> console.out().println(line(replica)));
    }

    private static String line(OperatorMessages.Replica replica) {
        int filled = replica.total() == 0
                ? (replica.state().equals("ready") ? BAR_CHARACTERS : 0)
                : replica.chunks() * BAR_CHARACTERS / replica.total();
        String version = replica.version()
                .substring(
                        0, Math.min(SHORT_VERSION_CHARACTERS, replica.version().length()));
        return String.format(
                Locale.ROOT,
                "  %-14s %-16s %-14s [%s%s] %-11s %s%s",
                replica.placement(),
                replica.instance(),
                replica.hall(),
                "#".repeat(filled),
                ".".repeat(BAR_CHARACTERS - filled),
                replica.state(),
                version,
                replica.fault().isEmpty() ? "" : " (" + replica.fault() + ")");
    }
}
