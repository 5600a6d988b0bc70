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
 * Guards against a process that takes its configuration for current because its relay still replies. A relay that is cut off
 * from the log keeps replying without new records, so its reader must count from the relay's last contact with the log.
 */
class CutOffRelayTest {

    private static final long CUT_OFF_MILLIS = 60_000;
    private static final PlatformLog.Page EMPTY_PAGE = new PlatformLog.Page(0, List.of());

    private final ManualClock clock = new ManualClock();
    private final ControlThread control = ControlThread.start("control");
    private final Configuration relay = new Configuration(control, clock);
    private final Configuration reader = new Configuration(control, clock);

    @AfterEach
    void stop() {
        control.close();
    }

    @Test
    void shouldNotCountReplyAsContactWithLogWhenRelayIsCutOff() throws Exception {
        relay.offer(EMPTY_PAGE).join();
        reader.offer(EMPTY_PAGE).join();
        clock.advance(CUT_OFF_MILLIS);
        RecordsReply reply = readFromRelay();
        // ConfigurationReader passes on the reply of a relay in the same way.
        reader.offer(RecordsReplyParser.page(reply)).join();
        assertTrue(
                reader.silentMillis() >= CUT_OFF_MILLIS,
                "last contact with the log: relay " + relay.silentMillis() + " ms ago, reader " + reader.silentMillis()
                        + " ms ago");
    }

    private RecordsReply readFromRelay() throws Exception {
        CompletableFuture<RecordsReply> reply = new CompletableFuture<>();
        PeerService service = new PeerService(relay, StatusReply::getDefaultInstance, Optional.empty());
        service.records(RecordsRequest.newBuilder().setFrom(0).setWaitMillis(1).build(), new StreamObserver<>() {
            @Override
            public void onNext(RecordsReply value) {
                reply.complete(value);
            }

            @Override
            public void onError(Throwable error) {
                reply.completeExceptionally(error);
            }

            @Override
            public void onCompleted() {}
        });
        return reply.get(20, TimeUnit.SECONDS);
    }
}
