package org.micabarrow.serving;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.micabarrow.process.HostedEntryProcess;
import org.micabarrow.settings.Common;
import org.micabarrow.settings.HostedSettings;

/** An entry that runs until it is killed, in a process whose heap its starter chooses. */
final class SmallEntryProcess {

    private static final double LINK_BITS_PER_SECOND = 1e9;

    private static final HostedSettings.Bounds BOUNDS =
            new HostedSettings.Bounds(2_000, 2_000, 2_000, 1_000, 0.2, 160, 600_000, 1_000, OptionalLong.of(2_000));

    private SmallEntryProcess() {}

    /**
     * Runs the entry.
     *
     * @param arguments the addresses for clients, readiness, peers and metrics, and that of the store
     * @throws IOException if an address cannot be used
     * @throws InterruptedException if interrupted
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        HostedEntryProcess.start(new HostedSettings(
                new Common.Place("small", "region-a", "hall-a"),
                Map.of("hall-a", "region-a"),
                new HostedSettings.Listen(
                        Optional.of(arguments[0]), Optional.of(arguments[1]), arguments[2], arguments[3]),
                Integer.parseInt(arguments[2].substring(arguments[2].lastIndexOf(':') + 1)),
                List.of(),
                arguments[4],
                Optional.empty(),
                Optional.empty(),
                LINK_BITS_PER_SECOND,
                OptionalLong.empty(),
                BOUNDS,
                new Common.Logging("text", "info")));
        Thread.currentThread().join();
    }
}
