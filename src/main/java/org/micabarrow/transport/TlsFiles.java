package org.micabarrow.transport;

import io.grpc.ChannelCredentials;
import io.grpc.InsecureChannelCredentials;
import io.grpc.InsecureServerCredentials;
import io.grpc.ServerCredentials;
import io.grpc.TlsChannelCredentials;
import io.grpc.TlsServerCredentials;
import io.grpc.util.AdvancedTlsX509KeyManager;
import io.grpc.util.AdvancedTlsX509TrustManager;
import io.grpc.util.CertificateUtils;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.KeyManager;
import javax.net.ssl.SSLContext;
import org.micabarrow.settings.Common;
import org.micabarrow.state.Digest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Certificates from PEM files, reloaded when the files change. Open connections keep the certificates with which they
 * began; new ones use the current content of the files.
 *
 * <pre>{@code
 * SSLContext context = TlsFiles.open(settings).context();
 * }</pre>
 */
public final class TlsFiles {

    private static final Logger LOG = LoggerFactory.getLogger(TlsFiles.class);
    private static final long POLL_SECONDS = 2;
    private static final ScheduledExecutorService POLLER = Executors.newSingleThreadScheduledExecutor(work -> {
        Thread thread = new Thread(work, "certificates");
        thread.setDaemon(true);
        return thread;
    });

    private final Common.Tls files;
    private final AdvancedTlsX509KeyManager keyManager = new AdvancedTlsX509KeyManager();
    private final AdvancedTlsX509TrustManager trustManager;
    private String loadedDigest = "";

    /**
     * Trusts every certificate that the authorities have signed, whatever its host name, since the addresses of
     * processes change.
     */
    private TlsFiles(Common.Tls files) throws GeneralSecurityException {
        this.files = files;
        this.trustManager = AdvancedTlsX509TrustManager.newBuilder()
                .setVerification(AdvancedTlsX509TrustManager.Verification.CERTIFICATE_ONLY_VERIFICATION)
                .build();
    }

    /**
     * Reads the files, and polls them for changes.
     *
     * @param files the paths of the files
     * @return the certificates
     * @throws IOException if a file cannot be read or its content is invalid
     */
    public static TlsFiles open(Common.Tls files) throws IOException {
        Objects.requireNonNull(files, "files is null");
        try {
            TlsFiles opened = new TlsFiles(files);
            opened.loadIfChanged();
            POLLER.scheduleWithFixedDelay(opened::reloadIfChanged, POLL_SECONDS, POLL_SECONDS, TimeUnit.SECONDS);
            return opened;
        } catch (GeneralSecurityException e) {
            throw new IOException("certificates of " + files.certificate() + " cannot be used: " + e.getMessage(), e);
        }
    }

    /** Files that are only partly written are read again later; until then the previous certificates stay in use. */
    private void reloadIfChanged() {
        try {
            loadIfChanged();
        } catch (GeneralSecurityException | IOException e) {
            LOG.warn(
                    "certificates of {} cannot be reloaded, the previous ones stay in use: {}",
                    files.certificate(),
                    e.getMessage());
        }
    }

    private void loadIfChanged() throws GeneralSecurityException, IOException {
        byte[] certificate = Files.readAllBytes(Path.of(files.certificate()));
        byte[] key = Files.readAllBytes(Path.of(files.key()));
        byte[] authorities = files.authorities().isPresent()
                ? Files.readAllBytes(Path.of(files.authorities().get()))
                : new byte[0];
        String digest = Digest.of(certificate) + Digest.of(key) + Digest.of(authorities);
        if (digest.equals(loadedDigest)) {
            return;
        }
        keyManager.updateIdentityCredentials(
                CertificateUtils.getX509Certificates(new ByteArrayInputStream(certificate)),
                CertificateUtils.getPrivateKey(new ByteArrayInputStream(key)));
        if (files.authorities().isPresent()) {
            trustManager.updateTrustCredentials(
                    CertificateUtils.getX509Certificates(new ByteArrayInputStream(authorities)));
        }
        loadedDigest = digest;
        LOG.info("certificates read from {}", files.certificate());
    }

    /**
     * Returns the credentials of a server that other processes connect to.
     *
     * @param files the certificates, empty for plain connections
     * @return credentials that require a certificate from every client
     */
    public static ServerCredentials server(Optional<TlsFiles> files) {
        return files.<ServerCredentials>map(tls -> TlsServerCredentials.newBuilder()
                        .keyManager(tls.keyManager)
                        .trustManager(tls.trustManager)
                        .clientAuth(TlsServerCredentials.ClientAuth.REQUIRE)
                        .build())
                .orElseGet(InsecureServerCredentials::create);
    }

    /**
     * Returns the credentials of a client that connects to other processes.
     *
     * @param files the certificates, empty for plain connections
     * @return the credentials
     */
    public static ChannelCredentials client(Optional<TlsFiles> files) {
        return files.<ChannelCredentials>map(tls -> TlsChannelCredentials.newBuilder()
                        .keyManager(tls.keyManager)
                        .trustManager(tls.trustManager)
                        .build())
                .orElseGet(InsecureChannelCredentials::create);
    }

    /**
     * Creates the TLS context of a listener for callers.
     *
     * @return a context that requires no client certificate
     * @throws IOException if TLS is not available
     */
    public SSLContext context() throws IOException {
        try {
            SSLContext context = SSLContext.getInstance("TLS");
            context.init(new KeyManager[] {keyManager}, null, null);
            return context;
        } catch (GeneralSecurityException e) {
            throw new IOException("TLS for callers is not available: " + e.getMessage(), e);
        }
    }
}
