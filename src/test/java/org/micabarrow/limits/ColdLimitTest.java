package org.micabarrow.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ColdLimitTest {

    private static final long NOW = 100_000;
    private static final OptionalDouble WARM = OptionalDouble.empty();

    private final EntryCount entries = new EntryCount();
    private final ColdLimit limit = new ColdLimit(new EndpointRateLimit("a", entries, new Random(1)));

    /** Asks each millisecond from one moment on, and returns how many requests may be sent. */
    private int sentFrom(long fromMillis, long millis, OptionalDouble perSecond, boolean ranksAvailable) {
        int sent = 0;
        for (long now = fromMillis; now < fromMillis + millis; now++) {
            if (limit.allows(perSecond, ranksAvailable, now)) {
                limit.sent(now);
                sent++;
            }
        }
        return sent;
    }

    @ParameterizedTest
    @CsvSource({
        // Requests a second, entries, the most that this entry may send in ten seconds.
        "28, 14, 20",
        "28, 1,  280",
        "10, 4,  25",
        "1,  4,  3",
    })
    void shouldGiveEntryItsShareByRank(double perSecond, int count, int most) {
        limit.rankReported(new EntryRank(0, count));
        int sent = sentFrom(NOW, 10_000, OptionalDouble.of(perSecond), true);
        assertTrue(sent <= most && sent >= most * 0.8 - 1, sent + " of " + most);
    }

    @Test
    void shouldTakeHalfOfShareWhenRankIsUnknown() {
        entries.reported(14, NOW);
        int sent = sentFrom(NOW, 20_000, OptionalDouble.of(28), false);
        assertTrue(sent <= 20 && sent >= 18, sent + " of 20");
    }

    @Test
    void shouldNotLimitWarmEndpoint() {
        assertEquals(1_000, sentFrom(NOW, 1_000, WARM, true));
        assertEquals(OptionalLong.of(0), limit.untilNextRequestMillis(WARM, true, NOW + 1_000));
    }

    @Test
    void shouldEndWithColdTimeAndBeginAgain() {
        limit.rankReported(new EntryRank(0, 1));
        assertTrue(sentFrom(NOW, 1_000, OptionalDouble.of(10), true) <= 10);
        assertEquals(1_000, sentFrom(NOW + 1_000, 1_000, WARM, true));
        assertTrue(sentFrom(NOW + 2_000, 1_000, OptionalDouble.of(10), true) <= 10);
    }

    /** The two decisions of one millisecond must not leave the limit in force for good. */
    @Test
    void shouldEndWhenColdTimeEndsInMillisecondOfStatement() {
        limit.rankReported(new EntryRank(0, 1));
        assertFalse(limit.allows(OptionalDouble.of(1), true, NOW));
        limit.allows(WARM, true, NOW);
        assertTrue(limit.allows(WARM, true, NOW + 1));
    }

    @Test
    void shouldStayDividedByRankWhenColdForLong() {
        limit.rankReported(new EntryRank(0, 4));
        sentFrom(NOW, 59_000, OptionalDouble.of(8), true);
        int sent = sentFrom(NOW + 59_000, 1_000, OptionalDouble.of(8), true);
        assertEquals(2, sent, 1);
    }
}
