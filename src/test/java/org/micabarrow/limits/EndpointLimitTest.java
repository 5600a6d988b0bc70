package org.micabarrow.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EndpointLimitTest {

    private static final boolean AGENT_TELLS = true;

    private final KnownEntries entries = new KnownEntries();
    private final EndpointLimit limit = new EndpointLimit("a", entries, new Random(1));
    private long now = 1_000_000;

    @BeforeEach
    void rank() {
        limit.ranked(new EntryRank(0, 1));
    }

    private boolean name(double perSecond, long atMillis) {
        return limit.answered(OptionalDouble.of(perSecond), atMillis, atMillis);
    }

    private boolean answerWithout(long sentMillis, long atMillis) {
        return limit.answered(OptionalDouble.empty(), sentMillis, atMillis);
    }

    private int sentIn(long millis) {
        return sentIn(millis, AGENT_TELLS);
    }

    private int sentIn(long millis, boolean agentTells) {
        int sent = 0;
        for (long end = now + millis; now < end; now += 10) {
            if (limit.allows(agentTells, now)) {
                limit.sent(now);
                sent++;
            }
        }
        return sent;
    }

    // -- sending

    @Test
    void shouldAllowAnythingWhenNoLimitIsStated() {
        assertEquals(100, sentIn(1_000));
        assertEquals(OptionalLong.of(0), limit.untilNextMillis(AGENT_TELLS, now));
    }

    @Test
    void shouldUseWholeLimitWhenThereIsNoOtherEntry() {
        name(2, now);
        assertEquals(20, sentIn(10_010));
    }

    @Test
    void shouldNotAccumulateCreditWhenNoRequestsArrive() {
        name(2, now);
        sentIn(1_000);
        now += 60_000;
        name(2, now);
        assertEquals(1, sentIn(490));
    }

    @Test
    void shouldAdaptWhenLimitChanges() {
        name(1, now);
        sentIn(5_000);
        name(10, now);
        assertEquals(100, sentIn(10_000), 1);
    }

    @Test
    void shouldReturnTimeUntilNextRequest() {
        name(2, now);
        assertEquals(OptionalLong.of(500), limit.untilNextMillis(AGENT_TELLS, now));
        now += 200;
        assertEquals(OptionalLong.of(300), limit.untilNextMillis(AGENT_TELLS, now));
    }

    @Test
    void shouldSendNothingWhenEnoughEntriesHaveLowerRanks() {
        limit.ranked(new EntryRank(4, 5));
        name(1, now);
        assertEquals(OptionalLong.empty(), limit.untilNextMillis(AGENT_TELLS, now));
        assertEquals(0, sentIn(20_000));
    }

    @Test
    void shouldGetShareWhenLimitWasNotStatedAgainForLong() {
        limit.ranked(new EntryRank(4, 5));
        entries.told(5, now);
        name(1, now);
        now += EndpointLimit.COUNTED_MILLIS + 1;
        assertTrue(sentIn(20_000) > 0, "otherwise it never learns that the limit was lifted");
    }

    @Test
    void shouldSendLessWhenNumberOfEntriesIsUnknown() {
        name(64, now);
        assertEquals(10, sentIn(20_000, !AGENT_TELLS), 1);
    }

    @Test
    void shouldSendOneRequestOccasionallyWhenLimitIsZero() {
        name(0, now);
        assertEquals(2, sentIn(20_100));
    }

    @ParameterizedTest
    @ValueSource(doubles = {1e6, 1e12, Double.MAX_VALUE})
    void shouldAllowEverythingWhenLimitIsHuge(double perSecond) {
        limit.ranked(new EntryRank(59, 60));
        name(perSecond, now);
        now += 1;
        assertEquals(100, sentIn(1_000));
    }

    // -- observations

    @Test
    void shouldLiftLimitWhenResponseStatesNone() {
        name(1, now);
        assertTrue(answerWithout(now, now + 100));
        assertEquals(Optional.empty(), limit.limit());
    }

    @Test
    void shouldKeepLimitWhenResponseBelongsToEarlierRequest() {
        name(1, now);
        assertFalse(answerWithout(now - 1, now + 100));
        assertTrue(limit.limit().isPresent());
    }

    @Test
    void shouldApplyLimitAndItsLiftingWhenReceivedFromAgent() {
        assertTrue(limit.told(new LimitNews.Named(1, now)));
        assertFalse(limit.told(new LimitNews.Named(1, now + 100)), "the limit is unchanged");
        assertFalse(limit.told(new LimitNews.Ended(now)), "older than the latest observation");
        assertTrue(limit.told(new LimitNews.Ended(now + 200)));
        assertEquals(Optional.empty(), limit.limit());
    }

    @Test
    void shouldPassOnOnlyOwnObservations() {
        limit.told(new LimitNews.Named(1, now));
        assertEquals(Optional.empty(), limit.word(now));
        name(2, now);
        LimitWord word = new LimitWord(LimitWord.token("a"), OptionalDouble.of(2), 70);
        assertEquals(Optional.of(word), limit.word(now + 70));
        assertEquals(Optional.empty(), limit.word(now + EndpointLimit.COUNTED_MILLIS + 1));
    }

    @ParameterizedTest
    @ValueSource(doubles = {-1, Double.NaN, Double.POSITIVE_INFINITY})
    void shouldRejectInvalidLimit(double perSecond) {
        assertThrows(IllegalArgumentException.class, () -> name(perSecond, now));
    }
}
