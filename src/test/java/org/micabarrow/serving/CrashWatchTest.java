package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.micabarrow.crashes.CrashRegistry;
import org.micabarrow.crashes.CrashUpdate;
import org.micabarrow.crashes.EndpointCrash;
import org.micabarrow.crashes.LazyDigest;
import org.micabarrow.crashes.RequestDigest;
import org.micabarrow.routing.EndpointRegistration;

class CrashWatchTest {

    private static final RequestDigest ONE = new RequestDigest("1".repeat(32));
    private static final RequestDigest OTHER = new RequestDigest("2".repeat(32));
    private static final EndpointRegistration ENDPOINT =
            EndpointRegistration.of("e", "s", "127.0.0.1:1", "h", 16, false, Map.of(), 1);

    private final List<Consumer<Boolean>> asked = new ArrayList<>();
    private final List<CrashUpdate> told = new ArrayList<>();
    private final CrashRegistry book = new CrashRegistry(600_000, 100, () -> 8);
    private long clockMillis = 1_000;
    private int goneOn;
    private final CrashWatch watch =
            new CrashWatch(new CrashTracking(book, (endpoint, then) -> asked.add(then), told::add), () -> clockMillis);

    private static CrashUpdate crash(Set<RequestDigest> aboard, Set<RequestDigest> begun) {
        return new CrashUpdate.Crashed(new EndpointCrash("e", aboard, begun));
    }

    @Test
    void shouldTellOfCrashWhenNobodyListensAfterConnectionsBroke() {
        watch.broke(ENDPOINT, ONE, false, () -> goneOn++);
        watch.broke(ENDPOINT, OTHER, true, () -> goneOn++);
        assertEquals(1, asked.size(), "one question for all that broke");
        assertEquals(0, goneOn, "nothing goes on before that is answered");
        asked.getFirst().accept(true);
        assertEquals(2, goneOn);
        assertEquals(List.of(crash(Set.of(ONE), Set.of(OTHER))), told);
        assertEquals(1, book.crashCount());
    }

    @Test
    void shouldTellNothingWhenEndpointListensOrItsInstanceIsSilent() {
        watch.broke(ENDPOINT, ONE, false, () -> goneOn++);
        asked.getFirst().accept(false);
        assertEquals(1, goneOn);
        assertEquals(List.of(), told);
        assertEquals(0, book.crashCount());
        watch.broke(ENDPOINT, ONE, false, () -> goneOn++);
        assertEquals(2, asked.size(), "the next break is looked into again");
    }

    @Test
    void shouldAddWhatBreaksLaterWhenEndpointHasEnded() {
        watch.broke(ENDPOINT, ONE, false, () -> goneOn++);
        asked.getFirst().accept(true);
        watch.broke(ENDPOINT, OTHER, false, () -> goneOn++);
        assertEquals(crash(Set.of(ONE, OTHER), Set.of()), told.getLast());
        assertEquals(1, asked.size());
    }

    @Test
    void shouldCountWhatWasTakenBackJustBefore() {
        watch.takenBack(ENDPOINT, LazyDigest.of(OTHER), 100, false);
        clockMillis += 300;
        watch.broke(ENDPOINT, ONE, false, () -> goneOn++);
        asked.getFirst().accept(true);
        assertEquals(List.of(crash(Set.of(ONE, OTHER), Set.of())), told);
    }

    @Test
    void shouldNotCountWhatWasTakenBackLongBefore() {
        watch.takenBack(ENDPOINT, LazyDigest.of(OTHER), 100, false);
        clockMillis += 1_001;
        watch.broke(ENDPOINT, ONE, false, () -> goneOn++);
        asked.getFirst().accept(true);
        assertEquals(List.of(crash(Set.of(ONE), Set.of())), told);
    }

    @Test
    void shouldHoldNoMoreBytesThanMayBeWhenManyAreTakenBack() {
        watch.takenBack(ENDPOINT, LazyDigest.of(OTHER), (1 << 20) - (1 << 10), false);
        watch.takenBack(ENDPOINT, LazyDigest.of(OTHER), 1 << 20, false);
        watch.takenBack(ENDPOINT, LazyDigest.of(ONE), 1, false);
        RequestDigest third = new RequestDigest("3".repeat(32));
        watch.broke(ENDPOINT, third, false, () -> goneOn++);
        asked.getFirst().accept(true);
        assertEquals(List.of(crash(Set.of(ONE, third), Set.of())), told);
    }

    @Test
    void shouldTellOthersOfAnswerOnlyWhenRequestWasSuspected() {
        book.crashed(new EndpointCrash("a", Set.of(ONE), Set.of()), 0);
        watch.answered(LazyDigest.of(OTHER), true);
        assertEquals(List.of(), told);
        watch.answered(LazyDigest.of(ONE), true);
        assertEquals(List.of(new CrashUpdate.Cleared(ONE, true)), told);
    }
}
