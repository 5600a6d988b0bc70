package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against an entry that takes requests before it knows what agents have told the other entries. */
class FirstRepliesTest {

    private final FirstReplies replies = new FirstReplies();

    private void rounds(int number, String... hosts) {
        for (int i = 0; i < number; i++) {
            replies.roundBegins(List.of(hosts));
        }
    }

    @Test
    void shouldBeCompleteWhenEachQueriedAgentReplied() {
        rounds(1, "a", "b");
        replies.replied("a");
        assertFalse(replies.areComplete());
        replies.replied("b");
        assertTrue(replies.areComplete());
    }

    @Test
    void shouldWaitAnotherRoundWhenAgentIsSilent() {
        rounds(FirstReplies.MAX_ROUNDS_WITH_SILENT_AGENTS, "a", "b");
        replies.replied("a");
        assertFalse(replies.areComplete());
        rounds(1, "a", "b");
        assertTrue(replies.areComplete());
    }

    @Test
    void shouldNotWaitForHostsThatBecomeKnownLater() {
        rounds(1, "a");
        rounds(1, "a", "b");
        replies.replied("a");
        assertTrue(replies.areComplete());
    }

    @Test
    void shouldBeCompleteWhenThereAreNoHosts() {
        rounds(FirstReplies.MAX_ROUNDS_WITHOUT_HOSTS);
        assertFalse(replies.areComplete());
        rounds(1);
        assertTrue(replies.areComplete());
    }

    @Test
    void shouldWaitForRepliesWhenHostsBecomeKnownAfterSomeRounds() {
        rounds(FirstReplies.MAX_ROUNDS_WITHOUT_HOSTS);
        rounds(FirstReplies.MAX_ROUNDS_WITH_SILENT_AGENTS, "a");
        assertFalse(replies.areComplete());
        replies.replied("a");
        assertTrue(replies.areComplete());
    }

    @Test
    void shouldStayCompleteWhenHostsGo() {
        rounds(1, "a");
        replies.replied("a");
        rounds(1);
        assertTrue(replies.areComplete());
    }

    @Test
    void shouldNotWaitForeverWhenOnlyHostGoes() {
        rounds(1, "a");
        rounds(FirstReplies.MAX_ROUNDS_WITH_SILENT_AGENTS);
        assertTrue(replies.areComplete());
    }
}
