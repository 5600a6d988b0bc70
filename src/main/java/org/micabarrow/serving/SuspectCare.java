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
 * Decides what happens to a request with regard to the crashes at which it was: a culprit is refused, suspects are kept apart. While
 * no crash is known, no request is looked at. Used by the one thread for traffic.
 */
final class SuspectCare {

    private static final Standing UNSUSPECTED = new Standing.Unsuspected();

    private final CrashBook book;
    private final EndpointChoice choice;
    private final Admission admission;
    private final SuspectPlacement placement = new SuspectPlacement();

    SuspectCare(CrashBook book, EndpointChoice choice, Admission admission) {
        this.book = book;
        this.choice = choice;
        this.admission = admission;
    }

    /** What is held of a request. */
    Standing standing(LazyDigest digest, long nowMillis) {
        return book.mayKnow(digest) ? book.standing(digest.get(), nowMillis) : UNSUSPECTED;
    }

    /** A request is sent; what is returned is to be run once it is at its endpoint no more. */
    Runnable sent(EndpointEntry endpoint, LazyDigest digest, long nowMillis) {
        if (!(standing(digest, nowMillis) instanceof Standing.Suspected)) {
            return () -> {};
        }
        placement.began(endpoint.start(), digest.get());
        return () -> placement.ended(endpoint.start(), digest.get());
    }

    // -- deciding

    /** Decides for a request. */
    Decision decide(List<EndpointEntry> endpoints, Wanted wanted, LazyDigest digest, long nowMillis) {
        return switch (standing(digest, nowMillis)) {
            case Standing.Unsuspected ignored -> admission.decide(endpoints, wanted, nowMillis);
            case Standing.Refused(int crashes, long forMillis) -> new Decision.Culprit(crashes, forMillis);
            case Standing.Suspected suspected -> {
                List<EndpointEntry> free = placement.free(endpoints, digest.get(), suspected);
                yield SuspectPlacement.apart(suspected)
                        ? first(free, endpoints, wanted, nowMillis)
                        : preferring(free, endpoints, wanted, nowMillis);
            }
        };
    }

    private Decision preferring(
            List<EndpointEntry> free, List<EndpointEntry> endpoints, Wanted wanted, long nowMillis) {
        Decision decision = admission.decide(free, wanted, nowMillis);
        return decision instanceof Decision.Send ? decision : admission.decide(endpoints, wanted, nowMillis);
    }

    /** The first endpoint of some that has room; where none has, the request waits, even if others have. */
    private Decision first(List<EndpointEntry> free, List<EndpointEntry> endpoints, Wanted wanted, long nowMillis) {
        for (EndpointEntry one : free) {
            boolean well = !choice.failing(one, nowMillis);
            if (well && admission.decide(List.of(one), wanted, nowMillis) instanceof Decision.Send send) {
                return send;
            }
        }
        Decision elsewhere = admission.decide(endpoints, wanted, nowMillis);
        return elsewhere instanceof Decision.Send ? admission.withoutRoom(endpoints.size(), wanted) : elsewhere;
    }
}
