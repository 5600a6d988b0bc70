package org.micabarrow.bench;

import java.util.List;
import java.util.Optional;
import org.micabarrow.settings.AgentSettings;
import org.micabarrow.settings.Common;
import org.micabarrow.settings.EntrySettings;
import org.micabarrow.standin.Ports;
import org.micabarrow.state.Digest;
import org.micabarrow.state.Instance;

/**
 * Creates the settings of a local system's entries and agents, with free ports.
 *
 * @param options the configuration
 * @param platformAddress the host and port of the platform stand-in
 * @param statusMillis status polling interval; endpoint reports are polled twice as often
 */
record LocalSettings(LocalOptions options, String platformAddress, long statusMillis) {

    /** Creates the settings of an entry. */
    EntrySettings entry(Common.Place place) {
        return new EntrySettings(
                place,
                new EntrySettings.Listen(Ports.freeAddress(), Ports.freeAddress(), Ports.freeAddress()),
                platformServices(),
                List.of(new EntrySettings.Operator("ana", Digest.of(LocalSystem.OPERATOR_TOKEN))),
                new Common.LinkRates(options.originBytesPerSecond(), options.instanceBytesPerSecond()),
                new EntrySettings.Limits(
                        1 << 20, 16 << 10, 1000, 60_000, 60_000, options.claimTimeoutMillis(), 3_600_000, 2, 0.1),
                new EntrySettings.Peers(
                        statusMillis,
                        15 * statusMillis,
                        200,
                        options.repairDelayMillis(),
                        options.checkpointIntervalMillis(),
                        64),
                new Common.Logging("text", "info"),
                new Common.Security(Optional.empty(), Optional.empty()));
    }

    /** Creates the settings of an agent with an endpoint of the given kind. */
    AgentSettings agent(Common.Place place, String kind, String endpoint) {
        boolean engine = kind.equals(Instance.ENGINE);
        return new AgentSettings(
                place,
                new AgentSettings.Listen(Ports.freeAddress(), Ports.freeAddress()),
                platformServices(),
                new AgentSettings.EndpointAddress(
                        engine ? "engine" : "service", "http://" + endpoint, statusMillis / 2),
                new Common.LinkRates(options.originBytesPerSecond(), options.instanceBytesPerSecond()),
                new AgentSettings.Weights(options.windowBytes(), options.chunkTimeoutMillis(), 5_000, 3_000),
                new AgentSettings.Limits(2, 64, 1000, 1 << 20, 60_000, options.isolationTimeoutMillis(), 30_000),
                new Common.Logging("text", "info"),
                new Common.Security(Optional.empty(), Optional.empty()));
    }

    private Common.Platform platformServices() {
        String base = "http://" + platformAddress;
        return new Common.Platform(base + "/log", base + "/list", base + "/store", base + "/origin");
    }
}
