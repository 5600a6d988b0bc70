package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the outcome that a client is told when no further attempt is made or the deadline has passed. */
class RequestOutcomeTest {

    @ParameterizedTest
    @CsvSource({
        // response started, may have run, outcome without further attempts, outcome after the deadline
        "false, false, NOT_RUN, NOT_RUN",
        "false, true,  UNKNOWN, TIMED_OUT",
        "true,  false, BROKEN,  BROKEN",
        "true,  true,  BROKEN,  BROKEN"
    })
    void shouldReportNotRunOnlyWhenRequestCertainlyDidNotRun(
            boolean responseStarted,
            boolean mayRun,
            RequestOutcome withoutFurtherAttempts,
            RequestOutcome afterDeadline) {
        assertEquals(withoutFurtherAttempts, RequestOutcome.withoutResponse(responseStarted, mayRun));
        assertEquals(afterDeadline, RequestOutcome.timedOut(responseStarted, mayRun));
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
    void shouldMapOutcomeToLogNameAndStatus(RequestOutcome outcome, String logName, int status) {
        assertEquals(logName, outcome.logName());
        assertEquals(status, outcome.status());
    }
}
