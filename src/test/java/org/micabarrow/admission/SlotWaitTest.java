package org.micabarrow.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.admission.AdmissionControl.Decision;
import org.micabarrow.admission.WaitQueue.QueuedRequest;
import org.micabarrow.admission.WaitQueue.Waiter;

/** Runs waits against a real queue. */
class SlotWaitTest {

    private static final long LATEST = 100;

    private final WaitQueue queue = new WaitQueue();
    private final List<String> notified = new ArrayList<>();
    private Decision next = new Decision.Wait(50, 1);
    private final SlotWait wait = new SlotWait(new TestQueue(), new Request());

    private final class TestQueue implements SlotWait.Queue {

        @Override
        public QueuedRequest enqueue(int priority, long latestStartMillis, Waiter waiter) {
            return queue.enqueue(priority, latestStartMillis, waiter);
        }

        @Override
        public void remove(QueuedRequest queued) {
            queue.remove(queued);
        }
    }

    private final class Request implements SlotWait.Request {

        @Override
        public Decision decide() {
            return next;
        }

        @Override
        public void decided(Decision decision, String reason) {
            notified.add(decision.getClass().getSimpleName() + " " + reason);
            if (reason.equals("again")) {
                wait.begin(0, LATEST, "second");
            }
        }

        @Override
        public void expired() {
            notified.add("expired");
        }
    }

    private void apply(String events) {
        for (String event : events.split(" ")) {
            switch (event) {
                case "-" -> {}
                case "begin" -> wait.begin(0, LATEST, "first");
                case "begin-again" -> wait.begin(0, LATEST, "again");
                case "full" -> next = new Decision.Full(1);
                case "unable" -> next = new Decision.Unable();
                case "dispatch" -> queue.dispatch();
                case "in-time" -> queue.expire(LATEST);
                case "late" -> queue.expire(LATEST + 1);
                case "end" -> wait.end();
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
    void shouldWaitUntilDecisionExpiryOrEnd(String events, boolean waits, int queueSize, String expected) {
        apply(events);
        assertEquals(waits, wait.isWaiting());
        assertEquals(queueSize, queue.size());
        assertEquals(expected, String.join("; ", notified));
    }
}
