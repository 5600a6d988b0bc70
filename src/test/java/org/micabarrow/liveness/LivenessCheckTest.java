package org.micabarrow.liveness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import org.junit.jupiter.api.Test;
import org.micabarrow.liveness.IdentityQuery.Reply;
import org.micabarrow.routing.EndpointRegistration;

/** Checks what the replies to queries and the state of the port say of an endpoint. */
class LivenessCheckTest {

    private static final Reply DROPPED = new Reply.Dropped("reset");
    private static final Reply NOT_CONNECTED = new Reply.NotConnected("no reply");

    private final EndpointRegistration endpoint = EndpointRegistration.of(
                    "e", "s", "127.0.0.1:1", "h", 16, false, java.util.Map.of(), 1)
            .withStart(OptionalLong.of(1_000));
    private final Queue<Reply> replies = new ArrayDeque<>();
    private final Queue<Boolean> refusals = new ArrayDeque<>();
    private Optional<String> replaced = Optional.empty();
    private final List<Liveness> results = new ArrayList<>();

    private Liveness check(Reply first, Object... further) {
        replies.add(first);
        for (Object next : further) {
            if (next instanceof Reply reply) {
                replies.add(reply);
            } else {
                refusals.add((Boolean) next);
            }
        }
        LivenessCheck.begin(
                (asked, callback) -> callback.accept(replies.remove()),
                (asked, callback) -> callback.accept(refusals.remove()),
                endpoint,
                () -> replaced,
                results::add);
        assertEquals(1, results.size());
        assertEquals(0, replies.size() + refusals.size(), "everything was asked for");
        return results.getFirst();
    }

    private static Reply answered(String id, long startedMillis) {
        return new Reply.Answered(new EndpointIdentity(Optional.of(id), OptionalLong.of(startedMillis)));
    }

    @Test
    void shouldBeRunningWhenSameStartAnswers() {
        assertInstanceOf(Liveness.Running.class, check(answered("e", 1_000)));
    }

    @Test
    void shouldBeRunningWhenAnswerStatesNoIdentity() {
        Reply silent = new Reply.Answered(new EndpointIdentity(Optional.empty(), OptionalLong.empty()));
        assertInstanceOf(Liveness.Running.class, check(silent));
    }

    @Test
    void shouldHaveEndedWhenItSeemsReplacedAndReplyDoesNotTellStart() {
        replaced = Optional.of("its other connections broke off");
        Reply idOnly = new Reply.Answered(new EndpointIdentity(Optional.of("e"), OptionalLong.empty()));
        assertInstanceOf(Liveness.Ended.class, check(idOnly));
        results.clear();
        assertInstanceOf(Liveness.Ended.class, check(new Reply.Unanswered()));
        results.clear();
        assertInstanceOf(Liveness.Ended.class, check(DROPPED, false, DROPPED, false));
    }

    @Test
    void shouldBeRunningWhenReplyTellsSameStartWhateverElseSuggests() {
        replaced = Optional.of("its other connections broke off");
        assertInstanceOf(Liveness.Running.class, check(answered("e", 1_000)));
    }

    @Test
    void shouldHaveEndedWhenAnotherEndpointAnswers() {
        assertInstanceOf(Liveness.Ended.class, check(answered("f", 1_000)));
    }

    @Test
    void shouldHaveEndedWhenSameEndpointHasStartedAgain() {
        assertInstanceOf(Liveness.Ended.class, check(answered("e", 2_000)));
    }

    @Test
    void shouldHaveEndedWhenNothingListens() {
        assertInstanceOf(Liveness.Ended.class, check(NOT_CONNECTED, true));
    }

    @Test
    void shouldHaveEndedWhenPortCloses() {
        assertInstanceOf(Liveness.Ended.class, check(DROPPED, true));
        results.clear();
        assertInstanceOf(Liveness.Ended.class, check(DROPPED, false, DROPPED, true));
    }

    @Test
    void shouldAskAgainWhenConnectionIsDropped() {
        assertInstanceOf(Liveness.Running.class, check(DROPPED, false, answered("e", 1_000)));
        results.clear();
        assertInstanceOf(Liveness.Ended.class, check(DROPPED, false, answered("e", 2_000)));
    }

    @Test
    void shouldBeRunningWhenConnectionStaysOpenWithoutAnswer() {
        assertInstanceOf(Liveness.Running.class, check(new Reply.Unanswered()));
    }

    @Test
    void shouldBeRunningWhenListenerClosesEveryConnection() {
        assertInstanceOf(Liveness.Running.class, check(DROPPED, false, DROPPED, false));
    }

    @Test
    void shouldBeUnconfirmedWhenInstanceIsNotReached() {
        assertInstanceOf(Liveness.Unconfirmed.class, check(NOT_CONNECTED, false, NOT_CONNECTED, false));
    }

    @Test
    void shouldAskAgainWhenFirstConnectionIsLost() {
        assertInstanceOf(Liveness.Running.class, check(NOT_CONNECTED, false, answered("e", 1_000)));
    }
}
