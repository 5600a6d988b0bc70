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

class EndpointRateLimitTest {

    private static final boolean AGENT_TELLS = true;

    private final EntryCount entries = new EntryCount();
    private final EndpointRateLimit limit = new EndpointRateLimit("a", entries, new Random(1));
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
    void shouldAllowAnythingWhenNoLimitIsNamed() {
        assertEquals(100, sentIn(1_000));
        assertEquals(OptionalLong.of(0), limit.untilNextMillis(AGENT_TELLS, now));
    }

    @Test
    void shouldAllowAsManyAsEndpointTakesWhenThereIsNoOtherEntry() {
        name(2, now);
        assertEquals(20, sentIn(10_010));
    }

    @Test
    void shouldSaveNothingUpWhileNoRequestComes() {
        name(2, now);
        sentIn(1_000);
        now += 60_000;
        name(2, now);
        assertEquals(1, sentIn(490));
    }

    @Test
    void shouldFollowWhenLimitChanges() {
        name(1, now);
        sentIn(5_000);
        name(10, now);
        assertEquals(100, sentIn(10_000), 1);
    }

    @Test
    void shouldSayWhenNextRequestMayBeSent() {
        name(2, now);
        assertEquals(OptionalLong.of(500), limit.untilNextMillis(AGENT_TELLS, now));
        now += 200;
        assertEquals(OptionalLong.of(300), limit.untilNextMillis(AGENT_TELLS, now));
    }

    @Test
    void shouldSendNothingWhenEnoughOthersComeBefore() {
        limit.ranked(new EntryRank(4, 5));
        name(1, now);
        assertEquals(OptionalLong.empty(), limit.untilNextMillis(AGENT_TELLS, now));
        assertEquals(0, sentIn(20_000));
    }

    @Test
    void shouldTakePartWhenLimitWasNotNamedAgainForLong() {
        limit.ranked(new EntryRank(4, 5));
        entries.told(5, now);
        name(1, now);
        now += EndpointRateLimit.COUNTED_MILLIS + 1;
        assertTrue(sentIn(20_000) > 0, "or it never hears of the end");
    }

    @Test
    void shouldSendLessWhenNobodyTellsHowManyEntriesThereAre() {
        name(64, now);
        assertEquals(10, sentIn(20_000, !AGENT_TELLS), 1);
    }

    @Test
    void shouldSendOneInAWhileWhenLimitIsZero() {
        name(0, now);
        assertEquals(2, sentIn(20_100));
    }

    @ParameterizedTest
    @ValueSource(doubles = {1e6, 1e12, Double.MAX_VALUE})
    void shouldHoldNothingBackWhenLimitIsHuge(double perSecond) {
        limit.ranked(new EntryRank(59, 60));
        name(perSecond, now);
        now += 1;
        assertEquals(100, sentIn(1_000));
    }

    // -- what is said

    @Test
    void shouldForgetLimitWhenAnswerNamesNone() {
        name(1, now);
        assertTrue(answerWithout(now, now + 100));
        assertEquals(Optional.empty(), limit.limit());
    }

    @Test
    void shouldKeepLimitWhenAnswerIsOfRequestSentBefore() {
        name(1, now);
        assertFalse(answerWithout(now - 1, now + 100));
        assertTrue(limit.limit().isPresent());
    }

    @Test
    void shouldHearOfLimitAndOfItsEndFromAgent() {
        assertTrue(limit.told(new RateLimitObservation.Named(1, now)));
        assertFalse(limit.told(new RateLimitObservation.Named(1, now + 100)), "nothing new");
        assertFalse(limit.told(new RateLimitObservation.Ended(now)), "older than what is known");
        assertTrue(limit.told(new RateLimitObservation.Ended(now + 200)));
        assertEquals(Optional.empty(), limit.limit());
    }

    @Test
    void shouldTellOthersOnlyWhatItHeardItself() {
        limit.told(new RateLimitObservation.Named(1, now));
        assertEquals(Optional.empty(), limit.word(now));
        name(2, now);
        RateLimitUpdate word = new RateLimitUpdate(RateLimitUpdate.token("a"), OptionalDouble.of(2), 70);
        assertEquals(Optional.of(word), limit.word(now + 70));
        assertEquals(Optional.empty(), limit.word(now + EndpointRateLimit.COUNTED_MILLIS + 1));
    }

    @ParameterizedTest
    @ValueSource(doubles = {-1, Double.NaN, Double.POSITIVE_INFINITY})
    void shouldRefuseWhatIsNoLimit(double perSecond) {
        assertThrows(IllegalArgumentException.class, () -> name(perSecond, now));
    }
}
