package org.micabarrow.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.routing.RequestSize;

class RecentRequestsTest {

    private final RecentRequests recent = new RecentRequests();

    private void arriveWithPromptsUpTo(int tokens) {
        for (int prompt = 1; prompt <= tokens; prompt++) {
            recent.arrived("r", RequestSize.ofPrompt(prompt));
        }
    }

    @ParameterizedTest
    @CsvSource({"1, USUAL", "30, USUAL", "45, LARGE", "48, LARGE", "55, LARGEST", "4000, LARGEST"})
    void shouldTellBandAmongRecentRequestsOfRoute(int promptTokens, SizeBand expected) {
        arriveWithPromptsUpTo(64);
        assertEquals(expected, recent.arrived("r", RequestSize.ofPrompt(promptTokens)));
        assertEquals(SizeBand.USUAL, recent.arrived("other", RequestSize.ofPrompt(promptTokens)));
    }

    @ParameterizedTest
    @CsvSource({"7, USUAL", "8, LARGEST"})
    void shouldKnowBandsOnlyAfterSomeRequests(int requests, SizeBand expected) {
        arriveWithPromptsUpTo(requests - 1);
        assertEquals(expected, recent.arrived("r", RequestSize.ofPrompt(9)));
    }

    @ParameterizedTest
    @CsvSource({"0, USUAL", "7, LARGEST", "300000000, LARGEST"})
    void shouldCountTenForEachAnswerToken(int answerTokens, SizeBand expected) {
        arriveWithPromptsUpTo(64);
        RequestSize size = new RequestSize(1, OptionalInt.of(answerTokens), OptionalInt.empty());
        assertEquals(expected, recent.arrived("r", size));
    }

    // -- competing prompts

    private static final long NOW = 10_000;

    private void end(int sent, int refused) {
        for (int i = 0; i < sent; i++) {
            recent.sent("r", NOW);
        }
        for (int i = 0; i < refused; i++) {
            recent.refused("r", NOW);
        }
    }

    @ParameterizedTest(name = "{0} sent, {1} refused")
    @CsvSource({"0,   0, 4000", "95,  5, 4000", "0,   2, 4000", "33,  7, 2014", "70, 30,   28", "10, 90,   28"})
    void shouldCompeteByUsualPromptWhenFewOfRouteAreSent(int sent, int refused, int expected) {
        arriveWithPromptsUpTo(56);
        end(sent, refused);
        assertEquals(expected, recent.competingPromptTokens("r", 4_000, NOW));
        assertEquals(20, recent.competingPromptTokens("r", 20, NOW), "not longer than its own");
        assertEquals(4_000, recent.competingPromptTokens("other", 4_000, NOW));
    }

    @Test
    void shouldCompeteByOwnPromptWhenShortageHasPassed() {
        arriveWithPromptsUpTo(56);
        end(10, 90);
        assertEquals(4_000, recent.competingPromptTokens("r", 4_000, NOW + 20_000));
    }

    @Test
    void shouldCompeteByOwnPromptWhenNoUsualOneIsKnown() {
        end(10, 90);
        assertEquals(4_000, recent.competingPromptTokens("r", 4_000, NOW));
    }
}
