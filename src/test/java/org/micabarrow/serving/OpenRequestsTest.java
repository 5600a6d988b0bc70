package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which of the open requests are looked after. */
class OpenRequestsTest {

    @Test
    void shouldLookAfterTheOthersWhenOneFails() {
        OpenRequests open = new OpenRequests();
        List<String> looked = new ArrayList<>();
        open.add(() -> {
            throw new IllegalStateException("a fault of the program");
        });
        open.add(() -> looked.add("other"));
        open.lookAfterAll();
        assertEquals(List.of("other"), looked);
    }
}
