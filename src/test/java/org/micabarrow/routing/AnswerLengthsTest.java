package org.micabarrow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AnswerLengthsTest {

    private final AnswerLengths lengths = new AnswerLengths();

    private static RequestSize size(int limit, int estimate) {
        return new RequestSize(100, OptionalInt.of(limit), OptionalInt.of(estimate));
    }

    private int expected(RequestSize size) {
        return lengths.expected("r", size).expectedAnswerTokens();
    }

    @Test
    void shouldExpectEstimateWhenNothingIsLearned() {
        assertEquals(50, expected(size(200, 50)));
        assertEquals(200, expected(size(200, 500)), "no more than the limit");
    }

    @Test
    void shouldExpectLimitWhenThereIsNoEstimate() {
        RequestSize limited = new RequestSize(100, OptionalInt.of(80), OptionalInt.empty());
        assertEquals(80, expected(limited));
        for (int i = 0; i < 10; i++) {
            lengths.observed("r", limited, 20);
        }
        assertEquals(20, expected(limited));
    }

    @Test
    void shouldLearnRatioOfRouteAndForgetIt() {
        for (int i = 0; i < 20; i++) {
            lengths.observed("r", size(1_000, 100), 50);
        }
        assertEquals(25, expected(size(1_000, 50)));
        assertEquals(50, lengths.expected("other", size(1_000, 50)).expectedAnswerTokens());
        for (int i = 0; i < 64; i++) {
            lengths.observed("r", size(1_000, 100), 200);
        }
        assertEquals(100, expected(size(1_000, 50)));
    }

    @ParameterizedTest
    @ValueSource(ints = {Integer.MIN_VALUE, -1, 0, Integer.MAX_VALUE})
    void shouldStayWithinLimitWhenEstimateIsAbsurd(int estimate) {
        for (int i = 0; i < 20; i++) {
            lengths.observed("r", size(200, estimate), 100);
            lengths.observed("r", size(200, 1), 100);
        }
        int expected = expected(size(200, estimate));
        assertTrue(expected >= 0 && expected <= 200, () -> String.valueOf(expected));
    }

    @Test
    void shouldExpectNothingWhenNothingIsStated() {
        lengths.observed("r", RequestSize.ofPrompt(10), 100);
        assertEquals(0, expected(RequestSize.ofPrompt(10)));
    }
}
