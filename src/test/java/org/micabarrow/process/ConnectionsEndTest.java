package org.micabarrow.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.bench.LocalOptions;
import org.micabarrow.bench.LocalSystem;
import org.micabarrow.protocol.wire.PeerGrpc;
import org.micabarrow.protocol.wire.StatusRequest;
import org.micabarrow.state.Instance;
import org.micabarrow.transport.grpc.PeerChannels;

/**
 * Whoever calls a process that ends learns it from the end of the connection. A connection that was still open when the threads
 * behind it had ended answered nothing and did not end: callers waited for their own limits, up to 40 s.
 */
class ConnectionsEndTest {

    /** Ends of a process: without a guard three of sixty met calls at the wrong moment. */
    private static final int ROUNDS = 30;

    private static final int CALLERS = 8;

    /** Decides nothing but a hang: a call that goes on for so long is one that nobody ends. */
    private static final long LONGEST_SECONDS = 15;

    private final LocalSystem system = LocalSystem.start(LocalOptions.quick());
    private final PeerChannels channels = new PeerChannels(new MetricRegistry(), Optional.empty());
    private final ExecutorService callers = Executors.newFixedThreadPool(CALLERS);

    @AfterEach
    void stop() {
        callers.shutdownNow();
        channels.close();
        system.close();
    }

    @Test
    void shouldEndCallsThatAreUnderWayWhenProcessIsKilled() throws Exception {
        for (int round = 0; round < ROUNDS; round++) {
            String id = "entry-" + round;
            system.addEntry(id, "norte", "norte-a");
            system.publishInstances();
            ManagedChannel channel = channels.connect(address(id));
            CountDownLatch answered = new CountDownLatch(CALLERS);
            List<CompletableFuture<Status.Code>> ends = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                ends.add(CompletableFuture.supplyAsync(() -> callUntilItEnds(channel, answered), callers));
            }
            answered.await(LONGEST_SECONDS, TimeUnit.SECONDS);
            system.entry(id).kill();
            List<Status.Code> hung = ends.stream()
                    .map(CompletableFuture::join)
                    .filter(code -> code == Status.Code.DEADLINE_EXCEEDED)
                    .toList();
            channel.shutdownNow();
            assertEquals(List.of(), hung, "calls that nobody ended, in round " + round);
        }
    }

    private String address(String id) {
        return system.platform().instances().stream()
                .filter(one -> one.id().equals(id))
                .map(Instance::address)
                .findFirst()
                .orElseThrow();
    }

    /** Asks for the status again and again, until a call ends without an answer. */
    private static Status.Code callUntilItEnds(ManagedChannel channel, CountDownLatch answered) {
        while (true) {
            try {
                PeerGrpc.newBlockingStub(channel)
                        .withDeadlineAfter(LONGEST_SECONDS, TimeUnit.SECONDS)
                        .status(StatusRequest.getDefaultInstance());
                answered.countDown();
            } catch (StatusRuntimeException e) {
                return e.getStatus().getCode();
            }
        }
    }
}
