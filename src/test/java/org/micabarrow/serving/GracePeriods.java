package org.micabarrow.serving;

import org.micabarrow.settings.HostedSettings;

/** Settings with another grace period. */
final class GracePeriods {

    private GracePeriods() {}

    static HostedSettings withGrace(HostedSettings settings, long graceMillis) {
        HostedSettings.Bounds bounds = settings.bounds();
        return new HostedSettings(
                settings.instance(),
                settings.regions(),
                settings.listen(),
                settings.peerPort(),
                settings.seeds(),
                settings.store(),
                settings.endpoint(),
                settings.service(),
                settings.linkBitsPerSecond(),
                settings.memoryMegabytes(),
                new HostedSettings.Bounds(
                        bounds.versionMillis(),
                        bounds.configurationMillis(),
                        bounds.drainMillis(),
                        graceMillis,
                        bounds.retryShare(),
                        bounds.retrySlack(),
                        bounds.crashMemoryMillis(),
                        bounds.crashesKept(),
                        bounds.evacuateMillis()),
                settings.log());
    }
}
