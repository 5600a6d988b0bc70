package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** How long the next part of an answer has been due. */
class AwaitedPartTest {

    private final AtomicLong now = new AtomicLong(1_000);
    private final AtomicInteger readOn = new AtomicInteger();
    private final AwaitedPart part = new AwaitedPart(now::get);

    @Test
    void shouldBeDueSinceTheSendingWhenNothingCame() {
        now.addAndGet(700);
        assertEquals(700, part.dueMillis());
    }

    @Test
    void shouldNotBeDueWhileClientHasNotTakenWhatCame() {
        part.came(readOn::incrementAndGet);
        now.addAndGet(9_000);
        assertEquals(0, part.dueMillis());
        assertEquals(0, readOn.get());
    }

    @Test
    void shouldBeDueSinceClientTookWhatCame() {
        Runnable taken = part.came(readOn::incrementAndGet);
        now.addAndGet(9_000);
        taken.run();
        now.addAndGet(300);
        assertEquals(300, part.dueMillis());
        assertEquals(1, readOn.get());
    }
}
