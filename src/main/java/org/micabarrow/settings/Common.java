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
     * Where the platform's services are.
     *
     * @param log the base address of the log service
     * @param instances the base address of the list of instances
     * @param store the base address of the weight store
     * @param origin the base address of the origin of weights
     */
    public record Platform(String log, String instances, String store, String origin) {}

    /**
     * What the links carry.
     *
     * @param originBytesPerSecond the origin's link
     * @param instanceBytesPerSecond each instance's link, in either direction
     */
    public record LinkRates(long originBytesPerSecond, long instanceBytesPerSecond) {}

    /**
     * How the process logs.
     *
     * @param format {@code text} or {@code json}
     * @param level the least level shown
     */
    public record Logging(String format, String level) {}

    /**
     * The PEM files for transport security; they are read again when they change.
     *
     * @param certificate the certificate chain
     * @param key the private key in PKCS#8
     * @param authorities the certificates that other processes' certificates must descend from; needed between processes
     */
    public record Tls(String certificate, String key, Optional<String> authorities) {}

    /**
     * Transport security between the system's processes and towards callers.
     *
     * @param peers both sides show certificates; absent for plain connections
     * @param callers the certificate shown to callers; absent for plain connections
     */
    public record Security(Optional<Tls> peers, Optional<Tls> callers) {}
}
