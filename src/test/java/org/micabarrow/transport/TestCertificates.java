package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.util.Base64;
import java.util.Objects;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import org.micabarrow.settings.Common;

/** Certificates that sign themselves, in PEM files. */
public final class TestCertificates {

    private final Path directory;

    public TestCertificates(Path directory) {
        this.directory = Objects.requireNonNull(directory, "directory is null");
    }

    /** The file of a certificate, "crt", or of its key, "key". */
    public Path pem(String name, String kind) {
        return directory.resolve(name + "." + kind);
    }

    /** The context of a server that has a certificate. */
    public SSLContext serverContext(String name) throws IOException {
        return TlsFiles.open(new Common.Tls(
                        pem(name, "crt").toString(), pem(name, "key").toString(), Optional.empty()))
                .context();
    }

    public void create(String name) throws Exception {
        Path store = directory.resolve(name + ".p12");
        String keytool =
                Path.of(System.getProperty("java.home"), "bin", "keytool").toString();
        Process process = new ProcessBuilder(
                        keytool,
                        "-genkeypair",
                        "-alias",
                        "k",
                        "-keyalg",
                        "EC",
                        "-dname",
                        "CN=" + name,
                        "-validity",
                        "3650",
                        "-storetype",
                        "PKCS12",
                        "-storepass",
                        "password",
                        "-keystore",
                        store.toString())
                .inheritIO()
                .start();
        assertEquals(0, process.waitFor());
        KeyStore keys = KeyStore.getInstance(store.toFile(), "password".toCharArray());
        write(
                pem(name, "key"),
                "PRIVATE KEY",
                keys.getKey("k", "password".toCharArray()).getEncoded());
        write(pem(name, "crt"), "CERTIFICATE", keys.getCertificate("k").getEncoded());
    }

    private static void write(Path file, String kind, byte[] bytes) throws IOException {
        String body = Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(bytes);
        Files.writeString(file, "-----BEGIN " + kind + "-----\n" + body + "\n-----END " + kind + "-----\n");
    }
}
