package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.micabarrow.routing.LoadReport;

/** What an agent answers to entries, over real sockets. */
class LoadServerTest {

    /** Decides nothing but a hang. */
    private static final int HANG_MILLIS = 10_000;

    private static final LoadReport RESTING = new LoadReport(0, 0, false, 1);

    private static void ask(DatagramSocket entry, InetSocketAddress agent, int number) throws IOException {
        ByteBuffer question = LoadMessages.write(new LoadMessages.Question("entry-a", 0, number, 0));
        entry.send(new DatagramPacket(question.array(), question.limit(), agent));
    }

    @Test
    void shouldAnswerOnWhenOneAnswerFails() throws Exception {
        AtomicBoolean failed = new AtomicBoolean();
        Supplier<Optional<LoadReport>> endpoint = () -> {
            if (failed.compareAndSet(false, true)) {
                throw new IllegalStateException("a fault of the program");
            }
            return Optional.of(RESTING);
        };
        try (DatagramSocket entry = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            entry.setSoTimeout(HANG_MILLIS);
            InetSocketAddress agent = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
            LoadServer.start("127.0.0.1:" + agent.getPort(), endpoint, () -> 0, (peer, changes) -> {});
            ask(entry, agent, 1);
            ask(entry, agent, 2);
            DatagramPacket answer = new DatagramPacket(new byte[512], 512);
            entry.receive(answer);
            assertEquals(
                    2,
                    LoadMessages.answer(Arrays.copyOf(answer.getData(), answer.getLength()))
                            .number());
        }
    }

    private static int freePort() throws IOException {
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }
}
