package org.micabarrow.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which messages are ended when their heads exceed the memory. */
class MessageMemoryTest {

    private static final long LIMIT = 100_000;
    private static final long LARGE = 40_000;

    private final MessageMemory memory = new MessageMemory(LIMIT);
    private final List<String> ended = new ArrayList<>();

    private MessageMemory.Share share(String name) {
        return memory.share(() -> ended.add(name));
    }

    @Test
    void shouldEndUnfinishedMessageThatBeganFirstWhenFull() {
        share("read").read(LARGE);
        MessageMemory.Share first = share("first");
        assertTrue(first.reading(LARGE / 2));
        assertTrue(share("second").reading(LARGE));
        assertTrue(share("third").reading(LARGE / 2));
        assertEquals(List.of("first"), ended);
        assertFalse(first.reading(1), "it stays ended");
        assertTrue(share("fourth").reading(LARGE));
        assertEquals(List.of("first", "second"), ended);
        assertTrue(memory.bytes() <= LIMIT);
    }

    @Test
    void shouldEndLargestMessageThatWasReadWhenUnfinishedOnesAreOrdinary() {
        share("large").read(LARGE);
        share("larger").read(LARGE + 1);
        share("ordinary").read(MessageMemory.ORDINARY_BYTES);
        assertTrue(share("new").reading(MessageMemory.ORDINARY_BYTES));
        assertTrue(share("next").reading(MessageMemory.ORDINARY_BYTES));
        assertEquals(List.of("larger"), ended);
    }

    @Test
    void shouldEndUnfinishedMessageOfOrdinarySizeWhenThereIsNoOther() {
        for (long bytes = 0; bytes + MessageMemory.ORDINARY_BYTES <= LIMIT; bytes += MessageMemory.ORDINARY_BYTES) {
            share("read").read(MessageMemory.ORDINARY_BYTES);
        }
        assertTrue(share("first").reading(MessageMemory.ORDINARY_BYTES / 2));
        assertTrue(share("growing").reading(MessageMemory.ORDINARY_BYTES));
        assertEquals(List.of("first"), ended);
    }

    @Test
    void shouldNotEndMessageOfWhichNothingHasCome() {
        MessageMemory.Share awaited = share("awaited");
        assertTrue(awaited.reading(0));
        assertTrue(share("first").reading(LIMIT));
        assertTrue(share("second").reading(LIMIT));
        assertEquals(List.of("first"), ended);
        assertTrue(awaited.reading(1));
    }

    @Test
    void shouldNotEndMessagesOfOrdinarySizeThatWereRead() {
        long count = 2 * LIMIT / MessageMemory.ORDINARY_BYTES;
        for (int i = 0; i < count; i++) {
            MessageMemory.Share share = share("ordinary");
            assertTrue(share.reading(MessageMemory.ORDINARY_BYTES));
            share.read(MessageMemory.ORDINARY_BYTES);
        }
        assertEquals(List.of(), ended);
    }

    @Test
    void shouldEndGrowingMessageItselfWhenItIsLargeAndBeganFirst() {
        MessageMemory.Share only = share("only");
        assertTrue(only.reading(LIMIT));
        assertFalse(only.reading(LIMIT + 1));
        assertEquals(List.of("only"), ended);
        assertEquals(0, memory.bytes());
    }

    @Test
    void shouldEndGrowingMessageWhenThoseEndedAreNotFreed() {
        MessageMemory.Share first = share("first");
        first.reading(LIMIT);
        share("second").reading(LIMIT);
        assertEquals(List.of("first"), ended);
        assertFalse(share("third").reading(LARGE));
        assertTrue(share("ordinary").reading(MessageMemory.ORDINARY_BYTES));
        first.release();
        assertTrue(share("fourth").reading(LARGE));
    }

    @Test
    void shouldCountNothingWhenReleased() {
        MessageMemory.Share share = share("x");
        share.reading(5);
        share.release();
        assertEquals(0, memory.bytes());
        assertTrue(share.reading(7), "the connection's next message");
        assertEquals(7, memory.bytes());
    }
}
