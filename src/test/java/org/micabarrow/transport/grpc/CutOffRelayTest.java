package org.micabarrow.transport.grpc;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.grpc.stub.StreamObserver;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.ManualClock;
import org.micabarrow.coordination.configuration.Configuration;
import org.micabarrow.coordination.configuration.ControlThread;
import org.micabarrow.coordination.log.PlatformLog;
import org.micabarrow.protocol.wire.RecordsReply;
import org.micabarrow.protocol.wire.RecordsRequest;
import org.micabarrow.protocol.wire.StatusReply;

/**
 * A process that reads the configuration from a relay of its hall knows it as of when the relay last heard of the log. A relay
 * that is cut off still answers, with nothing new.
 */
class CutOffRelayTest {

    private static final long CUT_OFF_MILLIS = 60_000;
    private static final PlatformLog.Page NOTHING_NEW = new PlatformLog.Page(0, List.of());

    private final ManualClock clock = new ManualClock();
    private final ControlThread control = ControlThread.start("control");
    private final Configuration relay = new Configuration(control, clock);
    private final Configuration behind = new Configuration(control, clock);

    @AfterEach
    void stop() {
        control.close();
    }

    @Test
    void shouldNotCountAsHearingOfLogWhenRelayIsCutOffFromIt() throws Exception {
        relay.offer(NOTHING_NEW).join();
        behind.offer(NOTHING_NEW).join();
        clock.advance(CUT_OFF_MILLIS);
        RecordsReply reply = askRelay();
        // As the reader does with what a relay answered.
        behind.offer(RecordReplies.page(reply)).join();
        assertTrue(
                behind.silentMillis() >= CUT_OFF_MILLIS,
                "the log was last heard by anybody " + relay.silentMillis() + " ms ago, and here "
                        + behind.silentMillis() + " ms ago");
    }

    private RecordsReply askRelay() throws Exception {
        CompletableFuture<RecordsReply> reply = new CompletableFuture<>();
        PeerService service = new PeerService(relay, StatusReply::getDefaultInstance, Optional.empty());
        service.records(RecordsRequest.newBuilder().setFrom(0).setWaitMillis(1).build(), new StreamObserver<>() {
            @Override
            public void onNext(RecordsReply value) {
                reply.complete(value);
            }

            @Override
            public void onError(Throwable t) {
                reply.completeExceptionally(t);
            }

            @Override
            public void onCompleted() {}
        });
        return reply.get(20, TimeUnit.SECONDS);
    }
}
