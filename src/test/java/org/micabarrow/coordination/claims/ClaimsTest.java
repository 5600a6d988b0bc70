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

class ClaimsTest {

    private static final Duration LONG = Duration.ofSeconds(30);
    private static final Duration KEPT = Duration.ofHours(1);

    private final FakeLog log = new FakeLog();
    private final Claims one = Claims.start(log, "claims-0", KEPT, InstantSource.system());
    private final Claims other = Claims.start(log, "claims-0", KEPT, InstantSource.system());

    @AfterEach
    void stop() {
        one.close();
        other.close();
    }

    private static Claim claim(String key, String attempt) {
        return new Claim(key, "body", "norte-a-1", "7", 0, attempt, Optional.empty());
    }

    @Test
    void shouldLetExactlyOneEntryWinWhenBothClaimOneKey() {
        for (int i = 0; i < 50; i++) {
            CompletableFuture<ClaimVerdict> first = one.claim(claim("k" + i, "a" + i), LONG);
            CompletableFuture<ClaimVerdict> second = other.claim(claim("k" + i, "b" + i), LONG);
            List<ClaimVerdict> verdicts = List.of(first.join(), second.join());
            assertEquals(
                    1,
                    verdicts.stream().filter(ClaimVerdict.Won.class::isInstance).count());
            assertEquals(
                    1,
                    verdicts.stream()
                            .filter(ClaimVerdict.Held.class::isInstance)
                            .count());
        }
    }

    @Test
    void shouldWinWhenAnswersOfAppendsAreLost() {
        log.loseAnswers(3);
        assertInstanceOf(
                ClaimVerdict.Won.class, one.claim(claim("k", "a"), LONG).join());
    }

    @Test
    void shouldFailWhenLogIsOut() {
        log.down(true);
        assertInstanceOf(
                ClaimVerdict.Failed.class,
                one.claim(claim("k", "a"), Duration.ofMillis(30)).join());
    }

    @Test
    void shouldPutWaitingClaimsIntoFewAppends() {
        log.down(true);
        List<CompletableFuture<ClaimVerdict>> verdicts = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            verdicts.add(one.claim(claim("k" + i, "a" + i), LONG));
        }
        log.down(false);
        verdicts.forEach(verdict -> assertInstanceOf(ClaimVerdict.Won.class, verdict.join()));
        assertTrue(log.appends() <= 4, "appends: " + log.appends());
    }

    @Test
    void shouldHaveEndedAndBeginNoReadWhenClosed() throws InterruptedException {
        HeldUp held = new HeldUp();
        Claims reading = Claims.start(heldUpLog(held), "claims-held", KEPT, InstantSource.system());
        held.awaitBegun();
        List<Thread> threads = threadsOf("claims-held");
        assertEquals(2, threads.size());
        reading.close();
        List<String> left =
                threads.stream().filter(Thread::isAlive).map(Thread::getName).toList();
        held.ownerHasClosed();
        assertEquals(List.of(), left, "threads that run on");
        assertEquals(1, held.calls(), "reads begun");
        assertEquals(0, held.callsAfterClose(), "reads begun after the close");
    }

    private static List<Thread> threadsOf(String stream) {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> thread.getName().startsWith(stream))
                .toList();
    }

    private static PlatformLog heldUpLog(HeldUp held) {
        return new PlatformLog() {
            @Override
            public Result<Long> append(String stream, byte[] body) {
                return none();
            }

            @Override
            public Result<Page> read(String stream, long from, Duration wait) {
                held.call();
                return none();
            }

            private <T> Result<T> none() {
                return Result.failure(Fault.of(Fault.Step.LOG, "log", Fault.Reason.CANCELLED, "interrupted"));
            }
        };
    }
}
