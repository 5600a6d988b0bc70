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

    private static final boolean RANKS_AVAILABLE = true;

    private final EntryCount entries = new EntryCount();
    private final EndpointRateLimit limit = new EndpointRateLimit("a", entries, new Random(1));
    private long now = 1_000_000;

    @BeforeEach
    void rank() {
        limit.rankReported(new EntryRank(0, 1));
    }

    private boolean stateLimit(double perSecond, long atMillis) {
        return limit.responseReceived(OptionalDouble.of(perSecond), atMillis, atMillis);
    }

    private boolean responseWithoutLimit(long sentMillis, long atMillis) {
        return limit.responseReceived(OptionalDouble.empty(), sentMillis, atMillis);
    }

    private int sentIn(long millis) {
        return sentIn(millis, RANKS_AVAILABLE);
    }

    private int sentIn(long millis, boolean ranksAvailable) {
        int sent = 0;
        for (long end = now + millis; now < end; now += 10) {
            if (limit.allows(ranksAvailable, now)) {
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
        assertEquals(OptionalLong.of(0), limit.untilNextRequestMillis(RANKS_AVAILABLE, now));
    }

    @Test
    void shouldUseWholeLimitWhenThereIsNoOtherEntry() {
        stateLimit(2, now);
        assertEquals(20, sentIn(10_010));
    }

    @Test
    void shouldNotAccumulateCreditWhenNoRequestsArrive() {
        stateLimit(2, now);
        sentIn(1_000);
        now += 60_000;
        stateLimit(2, now);
        assertEquals(1, sentIn(490));
    }

    @Test
    void shouldAdaptWhenLimitChanges() {
        stateLimit(1, now);
        sentIn(5_000);
        stateLimit(10, now);
        assertEquals(100, sentIn(10_000), 1);
    }

    @Test
    void shouldReturnTimeUntilNextRequest() {
        stateLimit(2, now);
        assertEquals(OptionalLong.of(500), limit.untilNextRequestMillis(RANKS_AVAILABLE, now));
        now += 200;
        assertEquals(OptionalLong.of(300), limit.untilNextRequestMillis(RANKS_AVAILABLE, now));
    }

    @Test
    void shouldSendNothingWhenEnoughEntriesHaveLowerRanks() {
        limit.rankReported(new EntryRank(4, 5));
        stateLimit(1, now);
        assertEquals(OptionalLong.empty(), limit.untilNextRequestMillis(RANKS_AVAILABLE, now));
        assertEquals(0, sentIn(20_000));
    }

    @Test
    void shouldGetShareWhenLimitWasNotStatedAgainForLong() {
        limit.rankReported(new EntryRank(4, 5));
        entries.reported(5, now);
        stateLimit(1, now);
        now += EndpointRateLimit.EXPIRY_MILLIS + 1;
        assertTrue(sentIn(20_000) > 0, "otherwise it never learns that the limit was lifted");
    }

    @Test
    void shouldSendLessWhenNumberOfEntriesIsUnknown() {
        stateLimit(64, now);
        assertEquals(10, sentIn(20_000, !RANKS_AVAILABLE), 1);
    }

    @Test
    void shouldSendOneRequestOccasionallyWhenLimitIsZero() {
        stateLimit(0, now);
        assertEquals(2, sentIn(20_100));
    }

    @ParameterizedTest
    @ValueSource(doubles = {1e6, 1e12, Double.MAX_VALUE})
    void shouldAllowEverythingWhenLimitIsHuge(double perSecond) {
        limit.rankReported(new EntryRank(59, 60));
        stateLimit(perSecond, now);
        now += 1;
        assertEquals(100, sentIn(1_000));
    }

    // -- observations

    @Test
    void shouldLiftLimitWhenResponseStatesNone() {
        stateLimit(1, now);
        assertTrue(responseWithoutLimit(now, now + 100));
        assertEquals(Optional.empty(), limit.current());
    }

    @Test
    void shouldKeepLimitWhenResponseBelongsToEarlierRequest() {
        stateLimit(1, now);
        assertFalse(responseWithoutLimit(now - 1, now + 100));
        assertTrue(limit.current().isPresent());
    }

    @Test
    void shouldApplyLimitAndItsLiftingWhenReceivedFromAgent() {
        assertTrue(limit.updated(new RateLimitObservation.Stated(1, now)));
        assertFalse(limit.updated(new RateLimitObservation.Stated(1, now + 100)), "the limit is unchanged");
        assertFalse(limit.updated(new RateLimitObservation.Lifted(now)), "older than the latest observation");
        assertTrue(limit.updated(new RateLimitObservation.Lifted(now + 200)));
        assertEquals(Optional.empty(), limit.current());
    }

    @Test
    void shouldPassOnOnlyOwnObservations() {
        limit.updated(new RateLimitObservation.Stated(1, now));
        assertEquals(Optional.empty(), limit.ownUpdate(now));
        stateLimit(2, now);
        RateLimitUpdate update = new RateLimitUpdate(RateLimitUpdate.token("a"), OptionalDouble.of(2), 70);
        assertEquals(Optional.of(update), limit.ownUpdate(now + 70));
        assertEquals(Optional.empty(), limit.ownUpdate(now + EndpointRateLimit.EXPIRY_MILLIS + 1));
    }

    @ParameterizedTest
    @ValueSource(doubles = {-1, Double.NaN, Double.POSITIVE_INFINITY})
    void shouldRejectInvalidLimit(double perSecond) {
        assertThrows(IllegalArgumentException.class, () -> stateLimit(perSecond, now));
    }
}
