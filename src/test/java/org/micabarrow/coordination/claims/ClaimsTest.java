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
import org.micabarrow.coordination.log.FakeLog;

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
}
