package org.micabarrow.attempts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What is known of a request's sendings after each row of events. */
class AttemptHistoryTest {

    private final AttemptHistory sendings = new AttemptHistory();

    /** Plays events: an upper-case letter is a sending to that endpoint. */
    private void play(String events) {
        for (String event : events.split(" ")) {
            switch (event) {
                case "-" -> {}
                case "ask" -> sendings.ask();
                case "withheld" -> sendings.withheld();
                case "late-at-A" -> sendings.cameLateAt("A");
                case "not-run" -> sendings.ended(AttemptOutcome.NOT_RUN);
                case "misdirected" -> sendings.ended(AttemptOutcome.MISDIRECTED);
                case "unknown" -> sendings.ended(AttemptOutcome.UNKNOWN);
                case "failed" -> sendings.ended(AttemptOutcome.FAILED);
                default -> sendings.sent(event);
            }
        }
    }

    private static Set<String> set(String ids) {
        return Arrays.stream(ids.split(" ")).filter(id -> !id.equals("-")).collect(Collectors.toSet());
    }

    @ParameterizedTest
    @CsvSource({
        // events,                      tried, count, may have run, came late
        "-,                             -,     0,     false,        false",
        "A,                             A,     1,     false,        false",
        "A not-run B,                   A B,   2,     false,        false",
        "A misdirected,                 A,     1,     false,        false",
        "A unknown,                     A,     1,     true,         false",
        "A failed,                      A,     1,     true,         false",
        "A unknown B not-run,           A B,   2,     true,         false",
        "A withheld,                    A,     0,     false,        false",
        "A withheld late-at-A,          -,     0,     false,        true",
        "A withheld late-at-A A,        A,     1,     false,        true",
        "A not-run B withheld late-at-A, B,    1,     false,        true"
    })
    void shouldKnowWhatHasHappened(String events, String tried, int count, boolean mayHaveRun, boolean cameLate) {
        play(events);
        assertEquals(set(tried), sendings.tried());
        assertEquals(count, sendings.count());
        assertEquals(mayHaveRun, sendings.mayHaveRun());
        assertEquals(cameLate, sendings.cameLate());
        assertEquals(new AttemptPolicy.Progress(count, mayHaveRun, 70), sendings.progress(70));
        assertEquals(new AttemptPolicy.Progress(count, true, 70), sendings.progressIfRun(70));
    }

    @ParameterizedTest
    @CsvSource({"-, true", "ask, true", "ask ask, false", "ask ask A, true", "ask A ask, true", "A ask ask, false"})
    void shouldAskTwoAgentsInVainBeforeOneSending(String events, boolean mayAsk) {
        play(events);
        assertEquals(mayAsk, sendings.ask());
    }
}
