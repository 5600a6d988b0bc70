package org.micabarrow.attempts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EventSplitterTest {

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void shouldHoldBackEventWhenItIsIncomplete() {
        EventSplitter splitter = new EventSplitter();
        assertEquals("id: 1\ndata: a\n\n", new String(splitter.append(bytes("id: 1\ndata: a\n\nid: 2\nda"))));
        assertEquals(Optional.of("1"), splitter.lastId());
        assertEquals("id: 2\nda", new String(splitter.remainder()));
    }

    @Test
    void shouldAcceptCarriageReturns() {
        EventSplitter splitter = new EventSplitter();
        assertEquals(15, splitter.append(bytes("id:7\r\ndata:\r\n\r\nx")).length);
        assertEquals(Optional.of("7"), splitter.lastId());
    }

    @Test
    void shouldCountCompleteEvents() {
        EventSplitter splitter = new EventSplitter();
        splitter.append(bytes("id: 1\n\nid: 2\r\n\r\nid: 3\nda"));
        assertEquals(2, splitter.count());
        splitter.append(bytes("ta\n\n"));
        assertEquals(3, splitter.count());
    }

    @Test
    void shouldTellCutStreamsWhenTheyEnd() {
        EventSplitter splitter = new EventSplitter();
        assertTrue(splitter.isCut(false, 0), "the connection ended before the first event");
        assertFalse(splitter.isCut(true, 0), "a stated end without events");
        splitter.append(bytes("id: 1\n\n"));
        assertFalse(splitter.isCut(false, 0));
        assertTrue(splitter.isCut(false, 1), "another body contributed the event");
        splitter.append(bytes("id: 2\nda"));
        assertTrue(splitter.isCut(true, 0), "within an event");
    }

    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r\n", ": the end", ": the end\n"})
    void shouldNotTakeCommentsAndLineBreaksForBeginOfEvent(String rest) {
        EventSplitter splitter = new EventSplitter();
        splitter.append(bytes("id: 1\n\n"));
        splitter.append(bytes(rest));
        assertFalse(splitter.isCut(false, 0));
        splitter.append(bytes("\nid: 2"));
        assertTrue(splitter.isCut(true, 0));
    }

    @Test
    void shouldDiscardRemainderWhenConnectionBroke() {
        EventSplitter splitter = new EventSplitter();
        splitter.append(bytes("id: 1\n\nid: 2\nbroken"));
        splitter.discardRemainder();
        assertEquals("id: 2\nwhole\n\n", new String(splitter.append(bytes("id: 2\nwhole\n\n"))));
    }

    /** However the input is cut, the concatenated output equals it, and every piece of output ends with an event. */
    @Property(seed = "11", tries = 300)
    void shouldPassEverythingOnHoweverInputIsSplit(
            @ForAll @IntRange(min = 1, max = 6) int events, @ForAll @IntRange(min = 1, max = 9) int cut) {
        StringBuilder text = new StringBuilder();
        for (int i = 1; i <= events; i++) {
            text.append("id: ")
                    .append(i)
                    .append("\ndata: ")
                    .append("x".repeat(i))
                    .append("\n\n");
        }
        byte[] all = bytes(text.toString());
        EventSplitter splitter = new EventSplitter();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int at = 0; at < all.length; at += cut) {
            byte[] part = splitter.append(Arrays.copyOfRange(all, at, Math.min(all.length, at + cut)));
            assertEquals(true, part.length == 0 || new String(part).endsWith("\n\n"));
            out.writeBytes(part);
        }
        assertEquals(text.toString(), out.toString());
        assertEquals(Optional.of(Integer.toString(events)), splitter.lastId());
    }

    @Test
    void shouldBeEndlessWhenEventExceedsWhatIsWaitedFor() {
        EventSplitter events = new EventSplitter();
        byte[] part = "x".repeat(256 * 1024).getBytes(StandardCharsets.UTF_8);
        events.append(part);
        assertFalse(events.isEndless());
        events.append("\n\n".getBytes(StandardCharsets.UTF_8));
        events.append(part);
        assertFalse(events.isEndless(), "the first event has ended");
        events.append(part);
        assertTrue(events.isEndless());
    }
}
