package org.micabarrow.transport;

import java.io.FileInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.CertificateFactory;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;

/** A client's connection, plain or with TLS, that may end in different ways. */
public final class TestClient implements AutoCloseable {

    private static final int HANG_MILLIS = 20_000;

    private final Socket raw = new Socket();
    private final Socket socket;

    /** How a client leaves. */
    public enum Leaving {

        /** Closes, with TLS after the end of its session. */
        CLOSE,

        /** Ends its side alone, with TLS its session's. */
        HALF_CLOSE,

        /** Ends its side of the connection alone, also with TLS. */
        CUT,

        /** Resets the connection. */
        RESET
    }

    /** Connects; with TLS if a certificate is given, which the server must have. */
    public TestClient(String address, Optional<Path> certificate) throws IOException, GeneralSecurityException {
        raw.setSoTimeout(HANG_MILLIS);
        raw.connect(Addresses.parse(address));
        socket = certificate.isPresent()
                ? context(certificate.get()).getSocketFactory().createSocket(raw, "localhost", raw.getPort(), true)
                : raw;
    }

    private static SSLContext context(Path certificate) throws IOException, GeneralSecurityException {
        KeyStore trusted = KeyStore.getInstance(KeyStore.getDefaultType());
        trusted.load(null, null);
        try (InputStream file = new FileInputStream(certificate.toFile())) {
            trusted.setCertificateEntry(
                    "server", CertificateFactory.getInstance("X.509").generateCertificate(file));
        }
        TrustManagerFactory trust = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        trust.init(trusted);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(null, trust.getTrustManagers(), null);
        return context;
    }

    public OutputStream out() throws IOException {
        return socket.getOutputStream();
    }

    public InputStream in() throws IOException {
        return socket.getInputStream();
    }

    /** Leaves; only {@link #close} frees the connection after it. */
    public void leave(Leaving leaving) throws IOException {
        switch (leaving) {
            case CLOSE -> socket.close();
            case HALF_CLOSE -> socket.shutdownOutput();
            case CUT -> raw.shutdownOutput();
            case RESET -> {
                raw.setSoLinger(true, 0);
                raw.close();
            }
        }
    }

    @Override
    public void close() throws IOException {
        raw.close();
    }
}
