package org.micabarrow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EndpointMemoryTest {

    private static final int LAYERS = 16;
    private static final RequestSize SIZE = new RequestSize(900, OptionalInt.of(100), OptionalInt.empty());

    private final EndpointMemory memory = new EndpointMemory();

    private static EndpointCondition condition(int running, int queued, long usedTokens, long totalTokens) {
        return new EndpointCondition(
                running,
                queued,
                OptionalDouble.empty(),
                OptionalLong.of(usedTokens * LAYERS),
                OptionalLong.of(totalTokens * LAYERS));
    }

    private void report(int running, long usedTokens, long totalTokens) {
        memory.reported(Optional.of(condition(running, 0, usedTokens, totalTokens)), 0);
    }

    @Test
    void shouldFitWhenMemoryIsNotReported() {
        assertTrue(memory.fits(SIZE, LAYERS));
        memory.reported(Optional.empty(), 0);
        assertTrue(memory.fits(SIZE, LAYERS));
    }

    @Test
    void shouldCountOwnRequestsSinceReport() {
        report(4, 4_000, 7_000);
        assertTrue(memory.fits(SIZE, LAYERS));
        memory.sent(SIZE);
        assertTrue(memory.fits(SIZE, LAYERS));
        memory.sent(SIZE);
        assertFalse(memory.fits(SIZE, LAYERS));
        memory.ended(SIZE);
        assertTrue(memory.fits(SIZE, LAYERS));
    }

    @Test
    void shouldCountPromptsThatAreNotReadYet() {
        memory.reported(Optional.of(condition(4, 0, 4_000, 7_000)), 2_000);
        assertFalse(memory.fits(SIZE, LAYERS));
    }

    @Test
    void shouldSendLargeRequestToEmptyEndpoint() {
        report(0, 0, 500);
        assertTrue(memory.fits(SIZE, LAYERS));
    }

    @Test
    void shouldIgnoreMemoryWhenItsNumbersCannotBe() {
        report(4, 9_000, 7_000);
        assertTrue(memory.fits(SIZE, LAYERS));
        assertTrue(memory.fits(SIZE, 0));
    }

    @ParameterizedTest(name = "{0} running, {1} queued, {2} of {3} used: {4} more")
    @CsvSource({
        "4, 0, 4000, 8000, 3",
        "4, 2, 4000, 8000, 1",
        "4, 9, 4000, 8000, 0",
        "8, 0, 8000, 8000, 0",
        "0, 0, 0, 8000, 2147483647",
        "4, 0, 9000, 8000, 2147483647",
        "4, 0, 0, 8000, 2147483647"
    })
    void shouldTellHowManyMoreRequestsFit(int running, int queued, long used, long total, int more) {
        assertEquals(more, condition(running, queued, used, total).requestsThatFit());
    }
}
