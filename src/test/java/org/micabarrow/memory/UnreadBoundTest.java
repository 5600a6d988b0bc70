package org.micabarrow.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against an endpoint that waits for a slow client, and against the cut of a client that catches up. */
class UnreadBoundTest {

    @ParameterizedTest
    @CsvSource({
        "0, 0, READ_ON",
        "262144, 0, READ_ON",
        "262144, 2000, READ_ON",
        "262145, 0, PAUSE",
        "262145, 1999, PAUSE",
        "262145, 2000, CUT",
        "1048576, 60000, CUT"
    })
    void shouldPauseAtBoundAndCutWhoeverStaysThere(long unreadBytes, long pausedMillis, UnreadBound.Step expected) {
        assertEquals(expected, UnreadBound.next(unreadBytes, pausedMillis));
    }
}
