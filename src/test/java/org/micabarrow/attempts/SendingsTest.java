package org.micabarrow.attempts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SendingsTest {

    private final Sendings sendings = new Sendings();

    /** Applies events; an upper-case letter is an attempt at that endpoint. */
    private void play(String events) {
        for (String event : events.split(" ")) {
            switch (event) {
                case "-" -> {}
                case "query" -> sendings.ask();
                case "not-sent" -> sendings.withheld();
                case "late-at-A" -> sendings.cameLateAt("A");
                case "not-run" -> sendings.ended(AttemptEnd.NOT_RUN);
                case "misdirected" -> sendings.ended(AttemptEnd.MISDIRECTED);
                case "unknown" -> sendings.ended(AttemptEnd.UNKNOWN);
                case "failed" -> sendings.ended(AttemptEnd.FAILED);
                default -> sendings.sent(event);
            }
        }
    }

    private static Set<String> set(String ids) {
        return Arrays.stream(ids.split(" ")).filter(id -> !id.equals("-")).collect(Collectors.toSet());
    }

    @ParameterizedTest
    @CsvSource({
        // events,                         tried, count, may have run, connected late
        "-,                              -,     0,     false,        false",
        "A,                              A,     1,     false,        false",
        "A not-run B,                    A B,   2,     false,        false",
        "A misdirected,                  A,     1,     false,        false",
        "A unknown,                      A,     1,     true,         false",
        "A failed,                       A,     1,     true,         false",
        "A unknown B not-run,            A B,   2,     true,         false",
        "A not-sent,                     A,     0,     false,        false",
        "A not-sent late-at-A,           -,     0,     false,        true",
        "A not-sent late-at-A A,         A,     1,     false,        true",
        "A not-run B not-sent late-at-A, B,     1,     false,        true"
    })
    void shouldTrackAttempts(String events, String tried, int count, boolean mayHaveRun, boolean cameLate) {
        play(events);
        assertEquals(set(tried), sendings.tried());
        assertEquals(count, sendings.count());
        assertEquals(mayHaveRun, sendings.mayHaveRun());
        assertEquals(cameLate, sendings.cameLate());
        assertEquals(new AttemptPolicy.Progress(count, mayHaveRun, 70), sendings.progress(70));
        assertEquals(new AttemptPolicy.Progress(count, true, 70), sendings.progressIfRun(70));
    }

    @ParameterizedTest
    @CsvSource({
        "-, true",
        "query, true",
        "query query, false",
        "query query A, true",
        "query A query, true",
        "A query query, false"
    })
    void shouldAllowTwoAgentQueriesBeforeOneAttempt(String events, boolean mayAsk) {
        play(events);
        assertEquals(mayAsk, sendings.ask());
    }
}
