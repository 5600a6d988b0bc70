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
import org.micabarrow.crashes.PortProbe;
import org.micabarrow.crashes.PromptPart;
import org.micabarrow.crashes.RequestCauses;
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

    /** How many parts of prompts are reported for a crash, so that its record stays small. */
    private static final int MAX_PARTS_PER_CRASH = 1_024;

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

    /** The requests at one start of an endpoint, by whether their response had begun, and the parts of their prompts. */
    private static final class RequestsAtEndpoint {

        private final Set<RequestDigest> notBegun = new HashSet<>();
        private final Set<RequestDigest> begun = new HashSet<>();
        private final Map<RequestDigest, Set<PromptPart>> parts = new HashMap<>();
        private int partCount;

        private void add(RequestCauses request, boolean hasBegun) {
            (hasBegun ? begun : notBegun).add(request.digest());
            Set<PromptPart> own = request.parts();
            if (!own.isEmpty()
                    && partCount + own.size() <= MAX_PARTS_PER_CRASH
                    && !parts.containsKey(request.digest())) {
                parts.put(request.digest(), own);
                partCount += own.size();
            }
        }

        private EndpointCrash toCrash(EndpointStart start) {
            return EndpointCrash.of(start, notBegun, begun, parts);
        }
    }

    /** The requests and continuations that depend on the result of a running probe. */
    private record PendingProbe(RequestsAtEndpoint requests, List<Runnable> continuations) {}

    private record CancelledRequest(
            EndpointStart endpoint, RequestCauses request, int bytes, boolean begun, long atMillis) {

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
     * @param request the request
     * @param begun whether its response had begun
     * @param continuation run once it is known whether the endpoint has crashed, immediately or after one round trip to
     *     its instance; if the request were retried earlier, it might crash the next endpoint without being suspected
     */
    void connectionBroke(EndpointRegistration endpoint, RequestCauses request, boolean begun, Runnable continuation) {
        EndpointStart start = endpoint.start();
        if (addToCrash(start, request, begun)) {
            continuation.run();
            return;
        }
        boolean probing = pendingProbes.containsKey(start);
        PendingProbe pending = pendingProbes.computeIfAbsent(
                start, key -> new PendingProbe(new RequestsAtEndpoint(), new ArrayList<>()));
        pending.requests().add(request, begun);
        pending.continuations().add(continuation);
        if (!probing) {
            probe.probe(endpoint, refused -> onProbeResult(start, refused));
        }
    }

    /**
     * Records that an endpoint has ended before the response to a request was complete, as has been found out otherwise.
     *
     * @param endpoint the endpoint
     * @param request the request
     * @param begun whether its response had begun
     */
    void endpointEnded(EndpointRegistration endpoint, RequestCauses request, boolean begun) {
        EndpointStart start = endpoint.start();
        if (addToCrash(start, request, begun)) {
            return;
        }
        RequestsAtEndpoint requests = new RequestsAtEndpoint();
        requests.add(request, begun);
        recordCrash(start, requests);
    }

    /** Adds a request to a crash that is known already; false if there is none. */
    private boolean addToCrash(EndpointStart start, RequestCauses request, boolean begun) {
        if (!crashed.containsKey(start)) {
            return false;
        }
        crashed.get(start).add(request, begun);
        publishCrash(start);
        return true;
    }

    /**
     * Records that a request with a body of the given size was cancelled; it may still be at its endpoint for a moment.
     */
    void recordCancelled(EndpointRegistration endpoint, RequestCauses request, int bytes, boolean begun) {
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
                .forEach(cancelledRequest -> requests.add(cancelledRequest.request(), cancelledRequest.begun()));
        crashed.put(start, requests);
        if (crashed.size() > MAX_CRASHED_STARTS) {
            crashed.remove(crashed.keySet().iterator().next());
        }
        publishCrash(start);
    }

    private void publishCrash(EndpointStart start) {
        EndpointCrash crash = crashed.get(start).toCrash(start);
        LOG.warn(
                "event=endpoint_crashed endpoint={} aboard={} begun={} parts={}",
                crash.endpoint(),
                crash.unanswered(),
                crash.partlyAnswered(),
                crash.parts());
        registry.crashed(crash, monotonicMillis.getAsLong());
        publisher.accept(new CrashUpdate.Crashed(crash));
    }

    // -- clearing suspects

    /**
     * Records that a response, or a part of one, has arrived. Published only for causes that were suspected, which most
     * never are.
     */
    void onResponse(RequestCauses request, boolean whole) {
        registry.answered(request, whole).forEach(cause -> publisher.accept(new CrashUpdate.Cleared(cause, whole)));
    }
}
