package org.micabarrow.settings;

import java.util.Optional;

/** The parts that settings of entries and agents share. */
public final class Common {

    private Common() {}

    /**
     * Which instance the process runs on.
     *
     * @param id its name in the platform's list
     * @param region its region
     * @param hall its data hall
     */
    public record Place(String id, String region, String hall) {}

    /**
     * Base addresses of the platform's services.
     *
     * @param log the base address of the log service
     * @param instances the base address of the list of instances
     * @param store the base address of the weight store
     * @param origin the base address of the origin of weights
     */
    public record Platform(String log, String instances, String store, String origin) {}

    /**
     * Link bandwidths.
     *
     * @param originBytesPerSecond bandwidth of the origin's link
     * @param instanceBytesPerSecond bandwidth of each instance's link, per direction
     */
    public record LinkRates(long originBytesPerSecond, long instanceBytesPerSecond) {}

    /**
     * Logging configuration.
     *
     * @param format {@code text} or {@code json}
     * @param level the minimum level that is logged
     */
    public record Logging(String format, String level) {}

    /**
     * PEM files for TLS. They are reloaded when they change.
     *
     * @param certificate the certificate chain
     * @param key the private key in PKCS#8
     * @param authorities the CA certificates that the certificates of other processes are verified against; required
     *     between processes
     */
    public record Tls(String certificate, String key, Optional<String> authorities) {}

    /**
     * TLS between the system's processes and towards callers.
     *
     * @param peers mutual TLS between processes; absent for unencrypted connections
     * @param callers the server certificate for callers; absent for unencrypted connections
     */
    public record Security(Optional<Tls> peers, Optional<Tls> callers) {}
}
