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
 * Detects crashes of endpoint processes, and which requests of this entry were running there. A broken connection is no
 * proof: healthy endpoints, too, cut off responses and reset connections. The endpoint's port is therefore probed. Only
 * a refused connection, which shows that the instance is up and nothing listens, proves a crash; an instance that is
 * unreachable or has no power sends no reply. Used by the traffic thread.
 */
final class CrashDetector {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.request");

    /** How many crashed starts are remembered, to attribute connections to them that break late. */
    private static final int MAX_CRASHED_STARTS = 64;

    /** How long a cancelled request may still be at its endpoint, in milliseconds. */
    private static final long CANCELLED_RETENTION_MILLIS = 1_000;

    /**
     * The maximum total size of the cancelled requests that are remembered; an entry's heap is less than a hundred
     * times this size.
     */
    private static final int MAX_CANCELLED_BYTES = 1 << 20;

    /** The estimated memory of a request besides its body, in bytes. */
    private static final int REQUEST_OVERHEAD_BYTES = 1 << 10;

    private final CrashRegistry registry;
    private final PortProbe probe;
    private final Consumer<CrashUpdate> publisher;
    private final LongSupplier monotonicMillis;
    private final Map<EndpointStart, PendingProbe> pendingProbes = new HashMap<>();
    private final Map<EndpointStart, RequestsAtEndpoint> crashed = new LinkedHashMap<>();
    private final Deque<CancelledRequest> cancelled = new ArrayDeque<>();
    private int cancelledBytes;

    /** The requests at one start of an endpoint, by whether their response had begun. */
    private record RequestsAtEndpoint(Set<RequestDigest> notBegun, Set<RequestDigest> begun) {

        private static RequestsAtEndpoint empty() {
            return new RequestsAtEndpoint(new HashSet<>(), new HashSet<>());
        }

        private void add(RequestDigest request, boolean hasBegun) {
            (hasBegun ? begun : notBegun).add(request);
        }

        private EndpointCrash toCrash(EndpointStart start) {
            return EndpointCrash.of(start, notBegun, begun);
        }
    }

    /** The requests and continuations that depend on the result of a running probe. */
    private record PendingProbe(RequestsAtEndpoint requests, List<Runnable> continuations) {}

    private record CancelledRequest(
            EndpointStart endpoint, LazyDigest request, int bytes, boolean begun, long atMillis) {

        private boolean isExpired(long nowMillis) {
            return nowMillis - atMillis > CANCELLED_RETENTION_MILLIS;
        }
    }

    CrashDetector(CrashTracking crashes, LongSupplier monotonicMillis) {
        this.registry = crashes.registry();
        this.probe = crashes.probe();
        this.publisher = crashes.publisher();
        this.monotonicMillis = monotonicMillis;
    }

    // -- crashes

    /**
     * Records that a request's connection broke before its response was complete, although the endpoint was not
     * draining.
     *
     * @param endpoint the endpoint
     * @param request the request's digest
     * @param begun whether its response had begun
     * @param continuation run once it is known whether the endpoint has crashed, immediately or after one round trip to
     *     its instance; if the request were retried earlier, it might crash the next endpoint without being suspected
     */
    void connectionBroke(EndpointRegistration endpoint, RequestDigest request, boolean begun, Runnable continuation) {
        EndpointStart start = endpoint.start();
        if (crashed.containsKey(start)) {
            crashed.get(start).add(request, begun);
            publishCrash(start);
            continuation.run();
            return;
        }
        boolean probing = pendingProbes.containsKey(start);
        PendingProbe pending = pendingProbes.computeIfAbsent(
                start, key -> new PendingProbe(RequestsAtEndpoint.empty(), new ArrayList<>()));
        pending.requests().add(request, begun);
        pending.continuations().add(continuation);
        if (!probing) {
            probe.probe(endpoint, refused -> onProbeResult(start, refused));
        }
    }

    /**
     * Records that a request with a body of the given size was cancelled; it may still be at its endpoint for a moment.
     */
    void recordCancelled(EndpointRegistration endpoint, LazyDigest request, int bytes, boolean begun) {
        int size = bytes + REQUEST_OVERHEAD_BYTES;
        if (size > MAX_CANCELLED_BYTES) {
            return;
        }
        long now = monotonicMillis.getAsLong();
        cancelled.addLast(new CancelledRequest(endpoint.start(), request, size, begun, now));
        cancelledBytes += size;
        while (cancelled.getFirst().isExpired(now) || cancelledBytes > MAX_CANCELLED_BYTES) {
            cancelledBytes -= cancelled.removeFirst().bytes();
        }
    }

    private void onProbeResult(EndpointStart start, boolean refused) {
        PendingProbe pending = pendingProbes.remove(start);
        if (pending == null) {
            return;
        }
        if (refused) {
            recordCrash(start, pending.requests());
        }
        pending.continuations().forEach(continuation -> RepeatedTasks.runGuarded("after-crash", continuation));
    }

    private void recordCrash(EndpointStart start, RequestsAtEndpoint requests) {
        long now = monotonicMillis.getAsLong();
        cancelled.stream()
                .filter(cancelledRequest ->
                        cancelledRequest.endpoint().equals(start) && !cancelledRequest.isExpired(now))
                .forEach(cancelledRequest ->
                        requests.add(cancelledRequest.request().get(), cancelledRequest.begun()));
        crashed.put(start, requests);
        if (crashed.size() > MAX_CRASHED_STARTS) {
            crashed.remove(crashed.keySet().iterator().next());
        }
        publishCrash(start);
    }

    private void publishCrash(EndpointStart start) {
        EndpointCrash crash = crashed.get(start).toCrash(start);
        LOG.warn(
                "event=endpoint_crashed endpoint={} aboard={} begun={}",
                crash.endpoint(),
                crash.unanswered(),
                crash.partlyAnswered());
        registry.crashed(crash, monotonicMillis.getAsLong());
        publisher.accept(new CrashUpdate.Crashed(crash));
    }

    // -- clearing suspects

    /**
     * Records that a response, or a part of one, has arrived. Published only if the request was suspected, which most
     * never are.
     */
    void onResponse(LazyDigest request, boolean whole) {
        if (registry.mayBeSuspect(request) && registry.cleared(request.get(), whole) > 0) {
            publisher.accept(new CrashUpdate.Cleared(request.get(), whole));
        }
    }
}
