package org.micabarrow.attempts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalLong;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the times by which a stopping entry decides. */
class AnswerTimesTest {

    private final AnswerTimes times = new AnswerTimes();

    @Test
    void shouldKnowNothingBeforeFirstAnswer() {
        times.answered("other", 10);
        assertEquals(OptionalLong.empty(), times.quantile("route", 0.5));
    }

    @ParameterizedTest
    @CsvSource({"0.5, 10", "0.9, 18", "0.95, 19", "1, 20"})
    void shouldReturnTimeOfFraction(double fraction, long expectedMillis) {
        LongStream.rangeClosed(1, 20).forEach(millis -> times.answered("route", millis));
        assertEquals(OptionalLong.of(expectedMillis), times.quantile("route", fraction));
    }

    @Test
    void shouldReturnOnlyAnswerWhateverFraction() {
        times.answered("route", 7);
        assertEquals(OptionalLong.of(7), times.quantile("route", 0.01));
        assertEquals(OptionalLong.of(7), times.quantile("route", 1));
    }

    @Test
    void shouldForgetOlderAnswers() {
        times.answered("route", 9_000);
        LongStream.range(0, 32).forEach(i -> times.answered("route", 300));
        assertEquals(OptionalLong.of(300), times.quantile("route", 1));
    }

    @Test
    void shouldForgetRouteAnsweredLongestAgoWhenThereAreTooMany() {
        IntStream.rangeClosed(0, AnswerTimes.MAX_ROUTES).forEach(i -> times.answered("route-" + i, i));
        assertEquals(OptionalLong.empty(), times.quantile("route-0", 1));
        assertEquals(OptionalLong.of(1), times.quantile("route-1", 1));
    }
}
