package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.grpc.Server;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.micabarrow.Await;
import org.micabarrow.protocol.wire.PeerGrpc;
import org.micabarrow.protocol.wire.StatusReply;
import org.micabarrow.protocol.wire.StatusRequest;
import org.micabarrow.settings.Common;
import org.micabarrow.standin.Ports;
import org.micabarrow.state.Result;
import org.micabarrow.transport.grpc.PeerChannels;
import org.micabarrow.transport.grpc.PeerClient;

/**
 * Processes accept only peers with a certificate of the configured authorities, and load new files without a restart.
 */
class TlsTest {

    @TempDir
    private Path directory;

    private TestCertificates certificates;

    @BeforeEach
    void createCertificates() throws Exception {
        certificates = new TestCertificates(directory);
        for (String name : List.of("one", "other", "stranger")) {
            certificates.create(name);
        }
        Files.writeString(authorities(), Files.readString(pem("one", "crt")) + Files.readString(pem("other", "crt")));
    }

    private Path authorities() {
        return directory.resolve("authorities.pem");
    }

    private Path pem(String name, String kind) {
        return certificates.pem(name, kind);
    }

    private Optional<TlsFiles> files(String name) throws IOException {
        return Optional.of(TlsFiles.open(new Common.Tls(
                pem(name, "crt").toString(),
                pem(name, "key").toString(),
                Optional.of(authorities().toString()))));
    }

    private static Server serve(PeerChannels channels, String address) throws IOException {
        return channels.serve(address, new PeerGrpc.PeerImplBase() {
            @Override
            public void status(StatusRequest request, StreamObserver<StatusReply> replies) {
                replies.onNext(StatusReply.newBuilder().setInstance("one").build());
                replies.onCompleted();
            }
        });
    }

    private static Result<StatusReply> queryStatus(PeerChannels channels, String address) {
        try (PeerClient client =
                new PeerClient("test", InstantSource.system(), channels::connect, List::of, new MetricRegistry())) {
            return client.status(address, 0).join();
        }
    }

    @Test
    void shouldAcceptOnlyPeersWithTrustedCertificates() throws IOException {
        String address = Ports.freeAddress();
        try (PeerChannels one = new PeerChannels(new MetricRegistry(), files("one"));
                PeerChannels other = new PeerChannels(new MetricRegistry(), files("other"));
                PeerChannels stranger = new PeerChannels(new MetricRegistry(), files("stranger"));
                PeerChannels plain = new PeerChannels(new MetricRegistry(), Optional.empty())) {
            Server server = serve(one, address);
            assertEquals(
                    "one",
                    queryStatus(other, address).toOptional().orElseThrow().getInstance());
            assertTrue(queryStatus(stranger, address).cause().isPresent());
            assertTrue(queryStatus(plain, address).cause().isPresent());
            server.shutdownNow();
        }
    }

    @Test
    void shouldLoadNewCertificateWithoutRestart() throws IOException {
        String address = Ports.freeAddress();
        try (PeerChannels one = new PeerChannels(new MetricRegistry(), files("one"));
                PeerChannels stranger = new PeerChannels(new MetricRegistry(), files("stranger"))) {
            Server server = serve(one, address);
            assertTrue(queryStatus(stranger, address).cause().isPresent());
            Files.copy(pem("other", "key"), pem("stranger", "key"), StandardCopyOption.REPLACE_EXISTING);
            Files.copy(pem("other", "crt"), pem("stranger", "crt"), StandardCopyOption.REPLACE_EXISTING);
            Await.until(
                    "the new certificate",
                    () -> queryStatus(stranger, address).toOptional().isPresent());
            server.shutdownNow();
        }
    }
}
