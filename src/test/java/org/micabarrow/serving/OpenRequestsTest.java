package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What happens to all open requests, whatever happens to one of them. */
class OpenRequestsTest {

    private final OpenRequests open = new OpenRequests();
    private final List<String> seen = new ArrayList<>();

    private final class Failing implements OpenRequests.Open {

        @Override
        public void lookAfter() {
            throw new IllegalStateException("a fault of the program");
        }

        @Override
        public void end(String why) {
            throw new IllegalStateException("a fault of the program");
        }
    }

    private final class Sound implements OpenRequests.Open {

        @Override
        public void lookAfter() {
            seen.add("looked after");
        }

        @Override
        public void end(String why) {
            seen.add(why);
        }
    }

    @BeforeEach
    void open() {
        open.add(new Failing());
        open.add(new Sound());
    }

    @Test
    void shouldLookAfterTheOthersWhenOneFails() {
        open.lookAfterAll();
        assertEquals(List.of("looked after"), seen);
    }

    @Test
    void shouldEndTheOthersWhenOneFails() {
        open.endAll("the process ends");
        assertEquals(List.of("the process ends"), seen);
    }
}
