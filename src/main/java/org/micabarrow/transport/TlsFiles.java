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
 * Certificates from PEM files, read again when the files change. Connections that are open keep what they began with;
 * new ones use what the files hold now.
 *
 * <pre>{@code
 * SSLContext context = TlsFiles.open(settings).context();
 * }</pre>
 */
public final class TlsFiles {

    private static final Logger LOG = LoggerFactory.getLogger(TlsFiles.class);
    private static final long LOOK_SECONDS = 2;
    private static final ScheduledExecutorService LOOKER = Executors.newSingleThreadScheduledExecutor(work -> {
        Thread thread = new Thread(work, "certificates");
        thread.setDaemon(true);
        return thread;
    });

    private final Common.Tls files;
    private final AdvancedTlsX509KeyManager keys = new AdvancedTlsX509KeyManager();
    private final AdvancedTlsX509TrustManager trust;
    private String read = "";

    /** Whoever shows a certificate of the authorities is of the system; host names say nothing, addresses change. */
    private TlsFiles(Common.Tls files) throws GeneralSecurityException {
        this.files = files;
        this.trust = AdvancedTlsX509TrustManager.newBuilder()
                .setVerification(AdvancedTlsX509TrustManager.Verification.CERTIFICATE_ONLY_VERIFICATION)
                .build();
    }

    /**
     * Reads the files, and goes on looking at them.
     *
     * @param files where they are
     * @return the certificates
     * @throws IOException if a file cannot be read or does not hold what it should
     */
    public static TlsFiles open(Common.Tls files) throws IOException {
        Objects.requireNonNull(files, "files is null");
        try {
            TlsFiles opened = new TlsFiles(files);
            opened.readIfChanged();
            LOOKER.scheduleWithFixedDelay(opened::look, LOOK_SECONDS, LOOK_SECONDS, TimeUnit.SECONDS);
            return opened;
        } catch (GeneralSecurityException e) {
            throw new IOException("certificates of " + files.certificate() + " cannot be used: " + e.getMessage(), e);
        }
    }

    /** Files that are half written are read again later; until then the old ones hold. */
    private void look() {
        try {
            readIfChanged();
        } catch (GeneralSecurityException | IOException e) {
            LOG.warn("certificates of {} are kept as they were: {}", files.certificate(), e.getMessage());
        }
    }

    private void readIfChanged() throws GeneralSecurityException, IOException {
        byte[] certificate = Files.readAllBytes(Path.of(files.certificate()));
        byte[] key = Files.readAllBytes(Path.of(files.key()));
        byte[] authorities = files.authorities().isPresent()
                ? Files.readAllBytes(Path.of(files.authorities().get()))
                : new byte[0];
        String now = Digest.of(certificate) + Digest.of(key) + Digest.of(authorities);
        if (now.equals(read)) {
            return;
        }
        keys.updateIdentityCredentials(
                CertificateUtils.getX509Certificates(new ByteArrayInputStream(certificate)),
                CertificateUtils.getPrivateKey(new ByteArrayInputStream(key)));
        if (files.authorities().isPresent()) {
            trust.updateTrustCredentials(CertificateUtils.getX509Certificates(new ByteArrayInputStream(authorities)));
        }
        read = now;
        LOG.info("certificates read from {}", files.certificate());
    }

    /**
     * What a server between processes shows and asks for.
     *
     * @param files the certificates, empty for plain connections
     * @return credentials that ask every client for a certificate
     */
    public static ServerCredentials server(Optional<TlsFiles> files) {
        return files.<ServerCredentials>map(one -> TlsServerCredentials.newBuilder()
                        .keyManager(one.keys)
                        .trustManager(one.trust)
                        .clientAuth(TlsServerCredentials.ClientAuth.REQUIRE)
                        .build())
                .orElseGet(InsecureServerCredentials::create);
    }

    /**
     * What a client between processes shows and asks for.
     *
     * @param files the certificates, empty for plain connections
     * @return the credentials
     */
    public static ChannelCredentials client(Optional<TlsFiles> files) {
        return files.<ChannelCredentials>map(one -> TlsChannelCredentials.newBuilder()
                        .keyManager(one.keys)
                        .trustManager(one.trust)
                        .build())
                .orElseGet(InsecureChannelCredentials::create);
    }

    /**
     * What a listener for callers shows.
     *
     * @return a context that asks for no certificate
     * @throws IOException if the platform lacks TLS
     */
    public SSLContext context() throws IOException {
        try {
            SSLContext context = SSLContext.getInstance("TLS");
            context.init(new KeyManager[] {keys}, null, null);
            return context;
        } catch (GeneralSecurityException e) {
            throw new IOException("no TLS for callers: " + e.getMessage(), e);
        }
    }
}
