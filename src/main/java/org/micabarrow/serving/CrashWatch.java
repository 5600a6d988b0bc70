package org.micabarrow.serving;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.micabarrow.crashes.CrashRegistry;
import org.micabarrow.crashes.CrashUpdate;
import org.micabarrow.crashes.EndpointCrash;
import org.micabarrow.crashes.LazyDigest;
import org.micabarrow.crashes.PortProbe;
import org.micabarrow.crashes.RequestDigest;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.EndpointStart;
import org.micabarrow.steps.RepeatedTasks;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Notices that an endpoint's process has ended, and which requests of this entry were there. Connections that break prove nothing
 * by themselves: endpoints cut answers off and reset connections while they are well. So the port is asked; only an instance that
 * says that nobody listens there proves the end, while one that is cut off or without power says nothing. Used by the one thread
 * for traffic.
 */
final class CrashWatch {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.request");

    /** How many ended starts are remembered, for connections to them that break late. */
    private static final int MOST_ENDED = 64;

    /** How long a request that was taken back may still be at its endpoint, in milliseconds. */
    private static final long TAKEN_BACK_MILLIS = 1_000;

    /** The most bytes that those hold: an entry's heap is under a hundred times as large. */
    private static final int MOST_BYTES_TAKEN_BACK = 1 << 20;

    /** What a request holds besides its body, in bytes. */
    private static final int HEAD_BYTES = 1 << 10;

    private final CrashRegistry book;
    private final PortProbe probe;
    private final Consumer<CrashUpdate> sharing;
    private final LongSupplier steadyMillis;
    private final Map<EndpointStart, Doubt> doubted = new HashMap<>();
    private final Map<EndpointStart, Aboard> ended = new LinkedHashMap<>();
    private final Deque<TakenBack> takenBack = new ArrayDeque<>();
    private int bytesTakenBack;

    /** The requests at one start of an endpoint. */
    private record Aboard(Set<RequestDigest> unbegun, Set<RequestDigest> begun) {

        private static Aboard nobody() {
            return new Aboard(new HashSet<>(), new HashSet<>());
        }

        private void add(RequestDigest request, boolean hasBegun) {
            (hasBegun ? begun : unbegun).add(request);
        }

        private EndpointCrash at(EndpointStart start) {
            return EndpointCrash.of(start, unbegun, begun);
        }
    }

    /** What depends on whether a start of an endpoint has ended. */
    private record Doubt(Aboard aboard, List<Runnable> waiting) {}

    private record TakenBack(EndpointStart endpoint, LazyDigest request, int bytes, boolean begun, long atMillis) {

        private boolean isOld(long nowMillis) {
            return nowMillis - atMillis > TAKEN_BACK_MILLIS;
        }
    }

    CrashWatch(CrashTracking crashes, LongSupplier steadyMillis) {
        this.book = crashes.book();
        this.probe = crashes.probe();
        this.sharing = crashes.sharing();
        this.steadyMillis = steadyMillis;
    }

    // -- what happens to requests

    /**
     * A request's connection broke before its answer was whole, though its endpoint had not said that it leaves.
     *
     * @param then run once it is known whether the endpoint has ended, at once or a way to its instance and back later: sent on before, the
     *     request might end the next endpoint without being suspected
     */
    void broke(EndpointRegistration endpoint, RequestDigest request, boolean begun, Runnable then) {
        EndpointStart start = endpoint.start();
        if (ended.containsKey(start)) {
            ended.get(start).add(request, begun);
            tell(start);
            then.run();
            return;
        }
        boolean asked = doubted.containsKey(start);
        Doubt doubt = doubted.computeIfAbsent(start, key -> new Doubt(Aboard.nobody(), new ArrayList<>()));
        doubt.aboard().add(request, begun);
        doubt.waiting().add(then);
        if (!asked) {
            probe.probe(endpoint, refused -> settle(start, refused));
        }
    }

    /** A request with a body of so many bytes was taken back; its endpoint may have it for a moment more. */
    void takenBack(EndpointRegistration endpoint, LazyDigest request, int bytes, boolean begun) {
        int held = bytes + HEAD_BYTES;
        if (held > MOST_BYTES_TAKEN_BACK) {
            return;
        }
        long now = steadyMillis.getAsLong();
        takenBack.addLast(new TakenBack(endpoint.start(), request, held, begun, now));
        bytesTakenBack += held;
        while (takenBack.getFirst().isOld(now) || bytesTakenBack > MOST_BYTES_TAKEN_BACK) {
            bytesTakenBack -= takenBack.removeFirst().bytes();
        }
    }

    private void settle(EndpointStart start, boolean refused) {
        Doubt doubt = doubted.remove(start);
        if (doubt == null) {
            return;
        }
        if (refused) {
            hasEnded(start, doubt.aboard());
        }
        doubt.waiting().forEach(one -> RepeatedTasks.runGuarded("after-crash", one));
    }

    private void hasEnded(EndpointStart start, Aboard aboard) {
        long now = steadyMillis.getAsLong();
        takenBack.stream()
                .filter(one -> one.endpoint().equals(start) && !one.isOld(now))
                .forEach(one -> aboard.add(one.request().get(), one.begun()));
        ended.put(start, aboard);
        if (ended.size() > MOST_ENDED) {
            ended.remove(ended.keySet().iterator().next());
        }
        tell(start);
    }

    private void tell(EndpointStart start) {
        EndpointCrash crash = ended.get(start).at(start);
        LOG.warn(
                "event=endpoint_crashed endpoint={} aboard={} begun={}",
                crash.endpoint(),
                crash.unanswered(),
                crash.partlyAnswered());
        book.crashed(crash, steadyMillis.getAsLong());
        sharing.accept(new CrashUpdate.Crashed(crash));
    }

    // -- what clears them

    /** An answer came, or a part of it. Others are told if the request was suspected; most never are. */
    void answered(LazyDigest request, boolean whole) {
        if (book.mayBeSuspect(request) && book.cleared(request.get(), whole) > 0) {
            sharing.accept(new CrashUpdate.Cleared(request.get(), whole));
        }
    }
}
