package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a client is told when nothing more is tried, or the time is over. */
class EndingTest {

    @ParameterizedTest
    @CsvSource({
        // begun, may run, tried no more, out of time
        "false, false, NOT_RUN, NOT_RUN",
        "false, true,  UNKNOWN, TIMED_OUT",
        "true,  false, BROKEN,  BROKEN",
        "true,  true,  BROKEN,  BROKEN"
    })
    void shouldSayNotRunOnlyWhenItSurelyDidNotRun(boolean begun, boolean mayRun, Ending noMore, Ending outOfTime) {
        assertEquals(noMore, Ending.withoutAnswer(begun, mayRun));
        assertEquals(outOfTime, Ending.outOfTime(begun, mayRun));
    }

    @ParameterizedTest
    @CsvSource({
        "ANSWERED, answered, 0",
        "NOT_RUN, not_run, 503",
        "UNKNOWN, unknown, 502",
        "TIMED_OUT, unknown, 504",
        "BROKEN, broken, 0",
        "CLIENT_GONE, client_gone, 0"
    })
    void shouldNameOutcomeAndStatus(Ending ending, String outcome, int status) {
        assertEquals(outcome, ending.outcome());
        assertEquals(status, ending.status());
    }
}
