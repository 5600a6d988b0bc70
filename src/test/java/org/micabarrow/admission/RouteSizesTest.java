package org.micabarrow.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalInt;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.routing.RequestSize;

class RouteSizesTest {

    private final RouteSizes sizes = new RouteSizes();

    private void arriveWithPromptsUpTo(int tokens) {
        for (int prompt = 1; prompt <= tokens; prompt++) {
            sizes.arrived("r", RequestSize.ofPrompt(prompt));
        }
    }

    @ParameterizedTest
    @CsvSource({"1, USUAL", "30, USUAL", "45, LARGE", "48, LARGE", "55, LARGEST", "4000, LARGEST"})
    void shouldTellBandAmongRecentRequestsOfRoute(int promptTokens, SizeBand expected) {
        arriveWithPromptsUpTo(64);
        assertEquals(expected, sizes.arrived("r", RequestSize.ofPrompt(promptTokens)));
        assertEquals(SizeBand.USUAL, sizes.arrived("other", RequestSize.ofPrompt(promptTokens)));
    }

    @ParameterizedTest
    @CsvSource({"7, USUAL", "8, LARGEST"})
    void shouldKnowBandsOnlyAfterSomeRequests(int requests, SizeBand expected) {
        arriveWithPromptsUpTo(requests - 1);
        assertEquals(expected, sizes.arrived("r", RequestSize.ofPrompt(9)));
    }

    @ParameterizedTest
    @CsvSource({"0, USUAL", "7, LARGEST", "300000000, LARGEST"})
    void shouldCountTenForEachAnswerToken(int answerTokens, SizeBand expected) {
        arriveWithPromptsUpTo(64);
        RequestSize size = new RequestSize(1, OptionalInt.of(answerTokens), OptionalInt.empty());
        assertEquals(expected, sizes.arrived("r", size));
    }
}
