package org.micabarrow.platform.standin;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.micabarrow.settings.Common;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.standin.Ports;

/** Creates settings of processes for the simulated platform. */
final class StandinSettings {

    /** Bandwidth of an instance's link; high enough that the small chunks are not delayed. */
    private static final double LINK_BITS_PER_SECOND = 1e9;

    private static final HostedSettings.Bounds BOUNDS =
            new HostedSettings.Bounds(2_000, 2_000, 2_000, 1_000, 0.2, 160, 600_000, 1_000, OptionalLong.of(2_000));

    private StandinSettings() {}

    /** Creates settings with free addresses. */
    static HostedSettings withFreeAddresses(
            String instance,
            String store,
            Optional<String> clients,
            Optional<String> ready,
            Optional<String> endpoint) {
        String peers = Ports.freeAddress();
        return new HostedSettings(
                new Common.Place(instance, "region-a", "hall-a"),
                Map.of("hall-a", "region-a", "hall-b", "region-b"),
                new HostedSettings.Listen(clients, ready, peers, Ports.freeAddress()),
                Integer.parseInt(peers.substring(peers.lastIndexOf(':') + 1)),
                List.of(),
                store,
                endpoint,
                endpoint.map(address -> "models"),
                LINK_BITS_PER_SECOND,
                OptionalLong.empty(),
                BOUNDS,
                new Common.Logging("text", "info"));
    }

    /** Returns settings of an entry that contacts agents on the given port. */
    static HostedSettings withPeerPort(HostedSettings entry, int peerPort) {
        return new HostedSettings(
                entry.instance(),
                entry.regions(),
                entry.listen(),
                peerPort,
                entry.seeds(),
                entry.store(),
                entry.endpoint(),
                entry.service(),
                entry.linkBitsPerSecond(),
                entry.memoryMegabytes(),
                entry.bounds(),
                entry.log());
    }
}
