package org.micabarrow.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.admission.AdmissionControl.Decision;
import org.micabarrow.admission.WaitQueue.Place;
import org.micabarrow.admission.WaitQueue.Waiter;

/** How a request's wait for room begins and ends, played on the line itself. */
class SlotWaitTest {

    private static final long LATEST = 100;

    private final WaitQueue line = new WaitQueue();
    private final List<String> told = new ArrayList<>();
    private Decision next = new Decision.Wait(50, 1);
    private final SlotWait room = new SlotWait(new OneLine(), new Request());

    private final class OneLine implements SlotWait.Line {

        @Override
        public Place join(int rank, long latestStartMillis, Waiter waiter) {
            return line.join(rank, latestStartMillis, waiter);
        }

        @Override
        public void leave(Place place) {
            line.leave(place);
        }
    }

    private final class Request implements SlotWait.Request {

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
            told.add("out of time");
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
                case "look" -> line.serve();
                case "in-time" -> line.expire(LATEST);
                case "late" -> line.expire(LATEST + 1);
                case "end" -> room.end();
                default -> throw new IllegalArgumentException(event);
            }
        }
    }

    @ParameterizedTest
    @CsvSource({
        // events,                     waits, in line, told
        "-,                            false, 0,       ''",
        "end,                          false, 0,       ''",
        "begin,                        true,  1,       ''",
        "begin look,                   true,  1,       ''",
        "begin look in-time,           true,  1,       ''",
        "begin full look,              false, 0,       Full first",
        "begin unable look,            false, 0,       Unable first",
        "begin full look look late,    false, 0,       Full first",
        "begin late,                   false, 0,       out of time",
        "begin late full look end,     false, 0,       out of time",
        "begin end,                    false, 0,       ''",
        "begin end full look late,     false, 0,       ''",
        "begin-again full look,        true,  1,       Full again",
        "begin-again full look end,    false, 0,       Full again",
        "begin-again full look late,   false, 0,       Full again; out of time"
    })
    void shouldWaitUntilDecisionTimeOrEnd(String events, boolean waits, int inLine, String expected) {
        play(events);
        assertEquals(waits, room.waits());
        assertEquals(inLine, line.size());
        assertEquals(expected, String.join("; ", told));
    }
}
