package org.micabarrow.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.admission.Admission.Decision;
import org.micabarrow.admission.WaitingLine.Place;
import org.micabarrow.admission.WaitingLine.Waiter;

/** Runs waits against a real queue. */
class RoomWaitTest {

    private static final long LATEST = 100;

    private final WaitingLine line = new WaitingLine();
    private final List<String> told = new ArrayList<>();
    private Decision next = new Decision.Wait(50, 1);
    private final RoomWait room = new RoomWait(new OneLine(), new Request());

    private final class OneLine implements RoomWait.Line {

        @Override
        public Place join(int rank, long latestStartMillis, Waiter waiter) {
            return line.join(rank, latestStartMillis, waiter);
        }

        @Override
        public void leave(Place place) {
            line.leave(place);
        }
    }

    private final class Request implements RoomWait.Request {

        @Override
        public Decision decide() {
            return next;
        }

        @Override
        public void decided(Decision decision, String why) {
            told.add(decision.getClass().getSimpleName() + " " + why);
            if (why.equals("again")) {
                room.begin(0, LATEST, "second");
            }
        }

        @Override
        public void outOfTime() {
            told.add("expired");
        }
    }

    private void play(String events) {
        for (String event : events.split(" ")) {
            switch (event) {
                case "-" -> {}
                case "begin" -> room.begin(0, LATEST, "first");
                case "begin-again" -> room.begin(0, LATEST, "again");
                case "full" -> next = new Decision.Full(1);
                case "unable" -> next = new Decision.Unable();
                case "dispatch" -> line.serve();
                case "in-time" -> line.expire(LATEST);
                case "late" -> line.expire(LATEST + 1);
                case "end" -> room.end();
                default -> throw new IllegalArgumentException(event);
            }
        }
    }

    @ParameterizedTest
    @CsvSource({
        // events,                            waits, queued, notified
        "-,                                 false, 0,      ''",
        "end,                               false, 0,      ''",
        "begin,                             true,  1,      ''",
        "begin dispatch,                    true,  1,      ''",
        "begin dispatch in-time,            true,  1,      ''",
        "begin full dispatch,               false, 0,      Full first",
        "begin unable dispatch,             false, 0,      Unable first",
        "begin full dispatch dispatch late, false, 0,      Full first",
        "begin late,                        false, 0,      expired",
        "begin late full dispatch end,      false, 0,      expired",
        "begin end,                         false, 0,      ''",
        "begin end full dispatch late,      false, 0,      ''",
        "begin-again full dispatch,         true,  1,      Full again",
        "begin-again full dispatch end,     false, 0,      Full again",
        "begin-again full dispatch late,    false, 0,      Full again; expired"
    })
    void shouldWaitUntilDecisionExpiryOrEnd(String events, boolean waits, int inLine, String expected) {
        play(events);
        assertEquals(waits, room.waits());
        assertEquals(inLine, line.size());
        assertEquals(expected, String.join("; ", told));
    }
}
