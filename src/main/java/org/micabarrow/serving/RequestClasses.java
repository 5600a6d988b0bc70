package org.micabarrow.serving;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.micabarrow.admission.AdmissionControl.Decision;
import org.micabarrow.admission.ClassAdmission;
import org.micabarrow.admission.ClassAdmission.Standing;
import org.micabarrow.admission.EntryDemand;
import org.micabarrow.admission.SlotGrants;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.routing.EndpointSelector;
import org.micabarrow.routing.RequestClass;

/**
 * How the requests for models of an entry compete for slots by class: what is told to agents, counted, and logged about
 * it. Used by the traffic thread.
 */
final class RequestClasses {

    /** How long a computed demand is told to agents, in milliseconds: a third of the interval between queries. */
    private static final long DEMAND_VALID_MILLIS = 50;

    /** Ranks from this one on share their metrics. */
    private static final int MAX_RANK = 99;

    private final ClassAdmission admission = new ClassAdmission();
    private final EndpointSelector selector;
    private final EntryWaitQueue waitQueue;
    private final MetricRegistry registry;
    private final LongSupplier monotonicMillis;
    private EntryDemand demand = EntryDemand.none();
    private long demandAtMillis = Long.MIN_VALUE / 2;

    RequestClasses(
            EndpointSelector selector,
            EntryWaitQueue waitQueue,
            MetricRegistry registry,
            LongSupplier monotonicMillis) {
        this.selector = selector;
        this.waitQueue = waitQueue;
        this.registry = registry;
        this.monotonicMillis = monotonicMillis;
    }

    // -- decisions

    /** The class with which a request for a model competes now. */
    RequestClass competing(ClientRequest request, boolean late) {
        return admission.competing(request.requestClass(), request.size(), late, now());
    }

    /** Whether a request without a free slot waits; it is refused at once if it would probably wait in vain. */
    boolean waits(ClientRequest request, Decision.Wait wait) {
        boolean inVain =
                admission.waitsInVain(competing(request, false), waitQueue.sizeByPriority(), wait.millis(), now());
        counter(request, inVain ? "refusedEarly" : "waiting").inc();
        return !inVain;
    }

    /** The delay after which a refused client is told to retry, given the usual one. */
    long retryAfterMillis(ClientRequest request, long usualMillis) {
        return admission.retryAfterMillis(request.requestClass(), waitQueue.sizeByPriority(), usualMillis, now());
    }

    // -- events

    void arrived(ClientRequest request, boolean late) {
        admission.arrived(
                request.requestClass(), request.size(), request.route().objectiveMillis(), late, now());
        counter(request, "received").inc();
    }

    /** Records the first attempt of a request. */
    void sent(ClientRequest request, boolean late) {
        admission.sent(request.requestClass(), competing(request, late), request.size(), now());
    }

    /**
     * Records that a request is refused for lack of a slot, and returns the reason for the log and the client: which part
     * of the admission refused it.
     *
     * @param request the request
     * @param late whether its objective has passed
     * @param endpoints the number of endpoints that could serve it
     * @param decision the decision that it would get with another class
     */
    String refused(ClientRequest request, boolean late, int endpoints, Function<RequestClass, Decision> decision) {
        Standing standing = admission.standing(request.requestClass(), request.size(), now());
        String part = part(request, late, standing, decision);
        admission.refused(request.requestClass(), request.size(), now());
        counter(request, "refused").inc();
        // What an organisation sends beyond its part gives its entry no claim to slots of others.
        if (standing != Standing.OVER_ITS_PART) {
            selector.unmetDemand().refused(now());
        }
        return withoutCapacity(late, endpoints) + ", class "
                + request.requestClass().priority() + ", part " + part;
    }

    /** The reason for a refusal without a free slot, whatever the class of the request. */
    static String withoutCapacity(boolean late, int endpoints) {
        String capacity = late ? "room to spare for a request whose objective is over" : "room within its objective";
        return "none of " + endpoints + " endpoints has " + capacity;
    }

    /** The part that refuses a request: the share of its organisation, the reserve of other classes, or none. */
    private String part(
            ClientRequest request, boolean late, Standing standing, Function<RequestClass, Decision> decision) {
        if (late || standing == Standing.BELOW_ITS_FLOOR) {
            return "full";
        }
        RequestClass mostUrgent = new RequestClass(0, request.organisation());
        if (!(decision.apply(mostUrgent) instanceof Decision.Send)) {
            return "full";
        }
        return standing == Standing.OVER_ITS_PART ? "share" : "reserve";
    }

    private Counter counter(ClientRequest request, String name) {
        int rank = Math.min(request.requestClass().priority(), MAX_RANK);
        return registry.counter("requests.class." + rank + "." + name);
    }

    // -- messages

    /** The demand that agents are told. */
    EntryDemand demand() {
        if (now() - demandAtMillis > DEMAND_VALID_MILLIS) {
            demand = admission.demand(waitQueue.sizeByPriority(), now());
            demandAtMillis = now();
        }
        return demand;
    }

    void granted(SlotGrants grants) {
        admission.granted(grants, selector.entryCount().count(), now());
    }

    private long now() {
        return monotonicMillis.getAsLong();
    }
}
