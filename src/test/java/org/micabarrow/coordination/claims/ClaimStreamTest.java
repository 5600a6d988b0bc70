package org.micabarrow.coordination.claims;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.coordination.HeldUp;
import org.micabarrow.coordination.log.FakeLog;
import org.micabarrow.coordination.log.PlatformLog;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;

class ClaimStreamTest {

    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration RETENTION = Duration.ofHours(1);

    private final FakeLog log = new FakeLog();
    private final ClaimStream first = ClaimStream.start(log, "claims-0", RETENTION, InstantSource.system());
    private final ClaimStream second = ClaimStream.start(log, "claims-0", RETENTION, InstantSource.system());

    @AfterEach
    void stop() {
        first.close();
        second.close();
    }

    private static Claim claim(String key, String attempt) {
        return new Claim(key, "body", "norte-a-1", "7", 0, attempt, Optional.empty());
    }

    @Test
    void shouldGiveKeyToExactlyOneEntryWhenBothClaimIt() {
        for (int i = 0; i < 50; i++) {
            CompletableFuture<ClaimResult> firstResult = first.claim(claim("k" + i, "a" + i), LONG_TIMEOUT);
            CompletableFuture<ClaimResult> secondResult = second.claim(claim("k" + i, "b" + i), LONG_TIMEOUT);
            List<ClaimResult> results = List.of(firstResult.join(), secondResult.join());
            assertEquals(
                    1,
                    results.stream().filter(ClaimResult.Won.class::isInstance).count());
            assertEquals(
                    1,
                    results.stream().filter(ClaimResult.Held.class::isInstance).count());
        }
    }

    @Test
    void shouldWinWhenResponsesToAppendsAreLost() {
        log.loseAnswers(3);
        assertInstanceOf(
                ClaimResult.Won.class,
                first.claim(claim("k", "a"), LONG_TIMEOUT).join());
    }

    @Test
    void shouldReportFailureWhenLogIsUnavailable() {
        log.down(true);
        assertInstanceOf(
                ClaimResult.Failed.class,
                first.claim(claim("k", "a"), Duration.ofMillis(30)).join());
    }

    @Test
    void shouldBatchWaitingClaimsWhenLogRecovers() {
        log.down(true);
        List<CompletableFuture<ClaimResult>> results = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            results.add(first.claim(claim("k" + i, "a" + i), LONG_TIMEOUT));
        }
        log.down(false);
        results.forEach(result -> assertInstanceOf(ClaimResult.Won.class, result.join()));
        assertTrue(log.appends() <= 4, "appends: " + log.appends());
    }

    @Test
    void shouldStopThreadsAndStartNoReadWhenClosed() throws InterruptedException {
        HeldUp held = new HeldUp();
        ClaimStream claims = ClaimStream.start(blockingLog(held), "claims-held", RETENTION, InstantSource.system());
        held.awaitBegun();
        List<Thread> threads = threadsOf("claims-held");
        assertEquals(2, threads.size());
        claims.close();
        List<String> running =
                threads.stream().filter(Thread::isAlive).map(Thread::getName).toList();
        held.ownerHasClosed();
        assertEquals(List.of(), running, "threads still running");
        assertEquals(1, held.calls(), "reads started");
        assertEquals(0, held.callsAfterClose(), "reads started after close");
    }

    private static List<Thread> threadsOf(String stream) {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> thread.getName().startsWith(stream))
                .toList();
    }

    private static PlatformLog blockingLog(HeldUp held) {
        return new PlatformLog() {
            @Override
            public Result<Long> append(String stream, byte[] body) {
                return cancelled();
            }

            @Override
            public Result<Page> read(String stream, long from, Duration wait) {
                held.call();
                return cancelled();
            }

            private <T> Result<T> cancelled() {
                return Result.failure(Fault.of(Fault.Step.LOG, "log", Fault.Reason.CANCELLED, "interrupted"));
            }
        };
    }
}
