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
 * Decides what happens to a request with regard to the crashes at which it was: a culprit is refused, suspects are kept apart. While
 * no crash is known, no request is looked at. Used by the one thread for traffic.
 */
final class SuspectCare {

    private static final SuspicionLevel UNSUSPECTED = new SuspicionLevel.Unsuspected();

    private final CrashRegistry book;
    private final EndpointSelector choice;
    private final AdmissionControl admission;
    private final SuspectIsolation placement = new SuspectIsolation();

    SuspectCare(CrashRegistry book, EndpointSelector choice, AdmissionControl admission) {
        this.book = book;
        this.choice = choice;
        this.admission = admission;
    }

    /** What is held of a request. */
    SuspicionLevel standing(LazyDigest digest, long nowMillis) {
        return book.mayKnow(digest) ? book.standing(digest.get(), nowMillis) : UNSUSPECTED;
    }

    /** A request is sent; what is returned is to be run once it is at its endpoint no more. */
    Runnable sent(EndpointRegistration endpoint, LazyDigest digest, long nowMillis) {
        if (!(standing(digest, nowMillis) instanceof SuspicionLevel.Suspected)) {
            return () -> {};
        }
        placement.began(endpoint.start(), digest.get());
        return () -> placement.ended(endpoint.start(), digest.get());
    }

    // -- deciding

    /** Decides for a request. */
    Decision decide(List<EndpointRegistration> endpoints, Wanted wanted, LazyDigest digest, long nowMillis) {
        return switch (standing(digest, nowMillis)) {
            case SuspicionLevel.Unsuspected ignored -> admission.decide(endpoints, wanted, nowMillis);
            case SuspicionLevel.Refused(int crashes, long forMillis) -> new Decision.Culprit(crashes, forMillis);
            case SuspicionLevel.Suspected suspected -> {
                List<EndpointRegistration> free = placement.free(endpoints, digest.get(), suspected);
                yield SuspectIsolation.apart(suspected)
                        ? first(free, endpoints, wanted, nowMillis)
                        : preferring(free, endpoints, wanted, nowMillis);
            }
        };
    }

    private Decision preferring(
            List<EndpointRegistration> free, List<EndpointRegistration> endpoints, Wanted wanted, long nowMillis) {
        Decision decision = admission.decide(free, wanted, nowMillis);
        return decision instanceof Decision.Send ? decision : admission.decide(endpoints, wanted, nowMillis);
    }

    /** The first endpoint of some that has room; where none has, the request waits, even if others have. */
    private Decision first(List<EndpointRegistration> free, List<EndpointRegistration> endpoints, Wanted wanted, long nowMillis) {
        for (EndpointRegistration one : free) {
            boolean well = !choice.failing(one, nowMillis);
            if (well && admission.decide(List.of(one), wanted, nowMillis) instanceof Decision.Send send) {
                return send;
            }
        }
        Decision elsewhere = admission.decide(endpoints, wanted, nowMillis);
        return elsewhere instanceof Decision.Send ? admission.withoutRoom(endpoints.size(), wanted) : elsewhere;
    }
}
