package org.micabarrow.routing;

/**
 * Decides whether an endpoint has capacity for a request: a model endpoint has, while the first event is predicted
 * within the objective and a slot is free. A request whose own prompt makes it late waits on and is sent as if it had
 * its shorter competing prompt: otherwise requests that came after it, with shorter prompts, would take every slot.
 */
final class EndpointCapacity {

    /** Fraction of the objective that is reserved for errors of the prediction. */
    private static final double OBJECTIVE_RESERVE_FRACTION = 0.2;

    /**
     * Fraction of an endpoint's slots that is reserved for requests which can still meet their objective. At full load
     * late responses, which are worth a quarter, would otherwise take slots from responses that are still in time.
     */
    private static final double SLOT_RESERVE_FRACTION = 0.25;

    /**
     * Fraction of the objective for which a late request may wait behind others. The processing of its own prompt may
     * take longer.
     */
    private static final double LATE_WAIT_FRACTION = 0.5;

    /** Number of requests that a plain endpoint may hold per slot, its queue included, before requests are refused. */
    private static final double PLAIN_REQUESTS_PER_SLOT = 2;

    /** Predicted delay per slot's worth of requests in the queue of a full plain endpoint, in milliseconds. */
    private static final double PLAIN_MILLIS_PER_ROUND = 80;

    /** Number of requests that a model endpoint may hold per slot. */
    private static final double MODEL_REQUESTS_PER_SLOT = 1;

    private EndpointCapacity() {}

    /**
     * Returns how long a request may wait for a free slot and still meet its objective, assuming that it then gets an
     * idle endpoint; once it cannot, for how much longer a request with its competing prompt could wait.
     *
     * @param request the request to send
     * @return milliseconds; 0 or less if it must not wait, as for plain services, whose requests are short
     */
    static long maxSlotWaitMillis(RoutingRequest request) {
        if (request.model().isEmpty()) {
            return 0;
        }
        ModelProfile model = request.model().get();
        double idleMillis = idleMillis(model, request.promptTokens());
        long untilLate = Math.round(firstEventLimitMillis(request) - idleMillis);
        if (untilLate > 0) {
            return untilLate;
        }
        double limitMillis =
                Math.min(firstEventLimitMillis(request) + extensionMillis(request, model), request.remainingMillis());
        return Math.round(limitMillis - idleMillis);
    }

    /** Returns whether a request may wait no longer, so that it gets only what others leave. */
    private static boolean hasWaitedTooLong(RoutingRequest request) {
        return request.objectivePassed() || maxSlotWaitMillis(request) <= 0;
    }

    /** Returns by how much a request may exceed its objective, because its prompt takes longer than the competing one. */
    private static double extensionMillis(RoutingRequest request, ModelProfile model) {
        return (request.promptTokens() - request.competingPromptTokens()) / model.prefillTokensPerMilli();
    }

    /** Returns the time within which the first event must be predicted now: in time, or else within the extension. */
    private static double capacityLimitMillis(RoutingRequest request, ModelProfile model) {
        double inTime = firstEventLimitMillis(request);
        return inTime > idleMillis(model, request.promptTokens())
                ? inTime
                : Math.min(inTime + extensionMillis(request, model), request.remainingMillis());
    }

    /** Returns the time within which the first event must be predicted, in milliseconds. */
    private static double firstEventLimitMillis(RoutingRequest request) {
        return request.millisToObjective() - request.objectiveMillis() * OBJECTIVE_RESERVE_FRACTION;
    }

    /**
     * Returns whether an eligible endpoint has capacity for a request.
     *
     * @param usualFactor the slowness of most endpoints that could serve it, see {@link EndpointSpeed#engineFactor}: if
     *     all are slow, a request that waits for a faster one is certainly late
     */
    static boolean hasCapacity(
            RoutingRequest request,
            EndpointRegistration endpoint,
            EndpointLoad load,
            double usualFactor,
            long nowMillis) {
        if (!load.backoffAllows(nowMillis)) {
            return false;
        }
        int requests = load.requests(nowMillis);
        if (request.model().isEmpty()) {
            return requests < endpoint.slots() * PLAIN_REQUESTS_PER_SLOT;
        }
        ModelProfile model = request.model().get();
        if (!load.hasAllottedSlot(request.requestClass().priority(), nowMillis)
                || !fitsMemory(request, load, nowMillis)) {
            return false;
        }
        double maxRequests = endpoint.slots() * MODEL_REQUESTS_PER_SLOT;
        double slowness = Math.max(1, load.speed().engineFactor(nowMillis) / usualFactor);
        double predictedMillis = modelledMillis(request, load, nowMillis) * slowness;
        if (slowness > 1
                && predictedMillis + answerMillis(request, load, slowness, nowMillis) > request.remainingMillis()) {
            return false;
        }
        if (hasWaitedTooLong(request)) {
            double queueMillis = predictedMillis - idleMillis(model, request.promptTokens()) * slowness;
            return requests < maxRequests * (1 - SLOT_RESERVE_FRACTION)
                    && queueMillis < request.objectiveMillis() * LATE_WAIT_FRACTION
                    && predictedMillis < request.remainingMillis();
        }
        return requests < maxRequests
                && predictedMillis < capacityLimitMillis(request, model)
                && request.requestClass()
                        .delaysNoneMoreUrgent(predictedMillis, loadedMillis(request, requests) * slowness);
    }

    /**
     * Predicts the time until the first event of a request's response, in milliseconds, corrected by all that is known
     * of the endpoint's speed. Used to compare endpoints. Capacity is decided by the engine's own slowness alone: when
     * links are saturated all endpoints are slow, and a request that waits for a fast one is certainly late.
     */
    static double predictedMillis(
            RoutingRequest request, EndpointRegistration endpoint, EndpointLoad load, long nowMillis) {
        if (request.model().isEmpty()) {
            return load.requests(nowMillis) * PLAIN_MILLIS_PER_ROUND / endpoint.slots();
        }
        return modelledMillis(request, load, nowMillis) * load.speed().factor(nowMillis);
    }

    /** Predicts the time until the first event from the service's model profile and the known load of the endpoint. */
    private static double modelledMillis(RoutingRequest request, EndpointLoad load, long nowMillis) {
        return firstEventMillis(
                request.model().get(),
                load.requests(nowMillis),
                load.pendingPromptTokens(nowMillis) + request.promptTokens());
    }

    /** Returns whether the endpoint's memory holds the request; a report that has expired does not count. */
    private static boolean fitsMemory(RoutingRequest request, EndpointLoad load, long nowMillis) {
        return !load.contact().hasRecentReport(nowMillis)
                || load.memory().fits(request.size(), request.model().get().layers());
    }

    /** Predicts the time from the first event of a response to its end; 0 if nothing is known of its length. */
    private static double answerMillis(RoutingRequest request, EndpointLoad load, double slowness, long nowMillis) {
        ModelProfile model = request.model().get();
        double passes = (double) request.size().expectedAnswerTokens() / Math.max(1, model.stride());
        return passes * model.passMillis(load.requests(nowMillis)) * slowness;
    }

    /** Predicts the time until the first event at an idle endpoint. */
    private static double idleMillis(ModelProfile model, int promptTokens) {
        return firstEventMillis(model, 0, promptTokens);
    }

    /** Predicts the time until the first event at an endpoint that has processed all prompts. */
    private static double loadedMillis(RoutingRequest request, int requests) {
        return firstEventMillis(request.model().get(), requests, request.promptTokens());
    }

    /**
     * Predicts the time until the first event: the steps in progress, the prompts ahead and the request's own prompt,
     * and its first steps.
     */
    private static double firstEventMillis(ModelProfile model, int requests, int promptTokens) {
        return 2 * model.passMillis(requests) + promptTokens / model.prefillTokensPerMilli();
    }
}
