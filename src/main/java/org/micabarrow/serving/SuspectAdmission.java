package org.micabarrow.serving;

import java.util.List;
import org.micabarrow.admission.Admission;
import org.micabarrow.admission.Admission.Decision;
import org.micabarrow.crashes.CrashBook;
import org.micabarrow.crashes.LazyDigest;
import org.micabarrow.crashes.Standing;
import org.micabarrow.crashes.SuspectPlacement;
import org.micabarrow.routing.EndpointChoice;
import org.micabarrow.routing.EndpointEntry;
import org.micabarrow.routing.Wanted;

/**
 * Decides how to handle a request with regard to the endpoint crashes it was involved in: poison requests are refused,
 * and suspects are kept apart. While no crash is known, digests are not computed. Used by the traffic thread.
 */
final class SuspectAdmission {

    private static final Standing UNSUSPECTED = new Standing.Unsuspected();

    private final CrashBook book;
    private final EndpointChoice choice;
    private final Admission admission;
    private final SuspectPlacement placement = new SuspectPlacement();

    SuspectAdmission(CrashBook book, EndpointChoice choice, Admission admission) {
        this.book = book;
        this.choice = choice;
        this.admission = admission;
    }

    /** What is known about a request's involvement in crashes. */
    Standing suspicion(LazyDigest digest, long nowMillis) {
        return book.mayKnow(digest) ? book.standing(digest.get(), nowMillis) : UNSUSPECTED;
    }

    /** Records that a request is sent; the returned action must run once the request has left its endpoint. */
    Runnable onSent(EndpointEntry endpoint, LazyDigest digest, long nowMillis) {
        if (!(suspicion(digest, nowMillis) instanceof Standing.Suspected)) {
            return () -> {};
        }
        placement.began(endpoint.start(), digest.get());
        return () -> placement.ended(endpoint.start(), digest.get());
    }

    // -- routing

    /** Decides how to handle a request. */
    Decision decide(List<EndpointEntry> endpoints, Wanted wanted, LazyDigest digest, long nowMillis) {
        return switch (suspicion(digest, nowMillis)) {
            case Standing.Unsuspected ignored -> admission.decide(endpoints, wanted, nowMillis);
            case Standing.Refused(int crashes, long forMillis) -> new Decision.Culprit(crashes, forMillis);
            case Standing.Suspected suspected -> {
                List<EndpointEntry> available = placement.free(endpoints, digest.get(), suspected);
                yield SuspectPlacement.apart(suspected)
                        ? decideFirst(available, endpoints, wanted, nowMillis)
                        : decidePreferring(available, endpoints, wanted, nowMillis);
            }
        };
    }

    private Decision decidePreferring(
            List<EndpointEntry> available, List<EndpointEntry> endpoints, Wanted wanted, long nowMillis) {
        Decision decision = admission.decide(available, wanted, nowMillis);
        return decision instanceof Decision.Send ? decision : admission.decide(endpoints, wanted, nowMillis);
    }

    /**
     * Chooses the first of the given endpoints that has a free slot. If none has, the request waits, even if other
     * endpoints have free slots.
     */
    private Decision decideFirst(
            List<EndpointEntry> available, List<EndpointEntry> endpoints, Wanted wanted, long nowMillis) {
        for (EndpointEntry endpoint : available) {
            boolean healthy = !choice.failing(endpoint, nowMillis);
            if (healthy && admission.decide(List.of(endpoint), wanted, nowMillis) instanceof Decision.Send send) {
                return send;
            }
        }
        Decision elsewhere = admission.decide(endpoints, wanted, nowMillis);
        return elsewhere instanceof Decision.Send ? admission.withoutRoom(endpoints.size(), wanted) : elsewhere;
    }
}
