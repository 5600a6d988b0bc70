package org.micabarrow.serving;

import java.util.List;
import org.micabarrow.admission.AdmissionControl;
import org.micabarrow.admission.AdmissionControl.Decision;
import org.micabarrow.crashes.CrashRegistry;
import org.micabarrow.crashes.LazyDigest;
import org.micabarrow.crashes.SuspicionLevel;
import org.micabarrow.crashes.SuspectIsolation;
import org.micabarrow.routing.EndpointSelector;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.Wanted;

/**
 * Decides how to handle a request with regard to the endpoint crashes it was involved in: poison requests are refused,
 * and suspects are kept apart. While no crash is known, digests are not computed. Used by the traffic thread.
 */
final class SuspectAdmission {

    private static final SuspicionLevel UNSUSPECTED = new SuspicionLevel.Unsuspected();

    private final CrashRegistry book;
    private final EndpointSelector choice;
    private final AdmissionControl admission;
    private final SuspectIsolation placement = new SuspectIsolation();

    SuspectAdmission(CrashRegistry book, EndpointSelector choice, AdmissionControl admission) {
        this.book = book;
        this.choice = choice;
        this.admission = admission;
    }

    /** What is known about a request's involvement in crashes. */
    SuspicionLevel suspicion(LazyDigest digest, long nowMillis) {
        return book.mayKnow(digest) ? book.standing(digest.get(), nowMillis) : UNSUSPECTED;
    }

    /** Records that a request is sent; the returned action must run once the request has left its endpoint. */
    Runnable onSent(EndpointRegistration endpoint, LazyDigest digest, long nowMillis) {
        if (!(suspicion(digest, nowMillis) instanceof SuspicionLevel.Suspected)) {
            return () -> {};
        }
        placement.began(endpoint.start(), digest.get());
        return () -> placement.ended(endpoint.start(), digest.get());
    }

    // -- routing

    /** Decides how to handle a request. */
    Decision decide(List<EndpointRegistration> endpoints, Wanted wanted, LazyDigest digest, long nowMillis) {
        return switch (suspicion(digest, nowMillis)) {
            case SuspicionLevel.Unsuspected ignored -> admission.decide(endpoints, wanted, nowMillis);
            case SuspicionLevel.Refused(int crashes, long forMillis) -> new Decision.Culprit(crashes, forMillis);
            case SuspicionLevel.Suspected suspected -> {
                List<EndpointRegistration> available = placement.free(endpoints, digest.get(), suspected);
                yield SuspectIsolation.apart(suspected)
                        ? decideFirst(available, endpoints, wanted, nowMillis)
                        : decidePreferring(available, endpoints, wanted, nowMillis);
            }
        };
    }

    private Decision decidePreferring(
            List<EndpointRegistration> available, List<EndpointRegistration> endpoints, Wanted wanted, long nowMillis) {
        Decision decision = admission.decide(available, wanted, nowMillis);
        return decision instanceof Decision.Send ? decision : admission.decide(endpoints, wanted, nowMillis);
    }

    /**
     * Chooses the first of the given endpoints that has a free slot. If none has, the request waits, even if other
     * endpoints have free slots.
     */
    private Decision decideFirst(
            List<EndpointRegistration> available, List<EndpointRegistration> endpoints, Wanted wanted, long nowMillis) {
        for (EndpointRegistration endpoint : available) {
            boolean healthy = !choice.failing(endpoint, nowMillis);
            if (healthy && admission.decide(List.of(endpoint), wanted, nowMillis) instanceof Decision.Send send) {
                return send;
            }
        }
        Decision elsewhere = admission.decide(endpoints, wanted, nowMillis);
        return elsewhere instanceof Decision.Send ? admission.withoutRoom(endpoints.size(), wanted) : elsewhere;
    }
}
