package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.routing.EndpointChoice;
import org.micabarrow.routing.EndpointEntry;
import org.micabarrow.routing.EndpointLoad.Told;
import org.micabarrow.settings.Common;
import org.micabarrow.views.View;
import org.xnio.XnioWorker;

/** Questions on which a request waits, over real sockets. */
class LoadFeedTest {

    /** Decides nothing but a hang. */
    private static final long LONGEST_SECONDS = 30;

    private final EndpointChoice choice = new EndpointChoice("region-a", Map.of("hall-a", "region-a"));
    private final EndpointEntry endpoint =
            new EndpointEntry("a", "models", "127.0.0.1:80", "hall-a", 4, false, Map.of("m", 1L), 16);
    private DatagramSocket agent;
    private XnioWorker worker;
    private LoadFeed feed;

    @BeforeEach
    void start() throws IOException {
        agent = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        worker = HttpCaller.worker("load-feed-test", 1);
        feed = LoadFeed.open(new LoadFeed.Parts(
                new Common.Place("entry-a", "region-a", "hall-a"),
                Map.of("hall-a", "region-a"),
                agent.getLocalPort(),
                View::empty,
                choice,
                worker.getIoThread(),
                () -> System.nanoTime() / 1_000_000));
        feed.start(() -> {});
    }

    @AfterEach
    void stop() {
        agent.close();
        worker.shutdownNow();
    }

    private CompletableFuture<Boolean> ask() {
        CompletableFuture<Boolean> inTime = new CompletableFuture<>();
        worker.getIoThread().execute(() -> feed.ask(endpoint, inTime::complete));
        return inTime;
    }

    private DatagramPacket question() throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[512], 512);
        agent.receive(packet);
        return packet;
    }

    private void answer(DatagramPacket question, int numberOff) throws IOException {
        byte[] bytes = Arrays.copyOf(question.getData(), question.getLength());
        int number = LoadMessages.question(bytes).number() + numberOff;
        ByteBuffer answer = LoadMessages.write(new LoadMessages.Answer(number, new Told(1, 0, false, 1)));
        agent.send(new DatagramPacket(answer.array(), answer.limit(), question.getSocketAddress()));
    }

    @Test
    void shouldSayThatAgentAnsweredWhenItsAnswerNamesTheQuestion() throws Exception {
        CompletableFuture<Boolean> inTime = ask();
        answer(question(), 0);
        // On a busy machine the answer may come after the limit; then the next question is answered.
        for (int again = 0; again < 20 && !inTime.get(LONGEST_SECONDS, TimeUnit.SECONDS); again++) {
            inTime = ask();
            answer(question(), 0);
        }
        assertTrue(inTime.get(LONGEST_SECONDS, TimeUnit.SECONDS));
    }

    @Test
    void shouldSayThatAgentDidNotAnswerWhenNothingComes() throws Exception {
        CompletableFuture<Boolean> inTime = ask();
        question();
        assertFalse(inTime.get(LONGEST_SECONDS, TimeUnit.SECONDS));
    }

    @Test
    void shouldSayThatAgentDidNotAnswerWhenAnotherQuestionIsAnswered() throws Exception {
        CompletableFuture<Boolean> inTime = ask();
        answer(question(), 1);
        assertFalse(inTime.get(LONGEST_SECONDS, TimeUnit.SECONDS));
    }
}
