package org.micabarrow.routing;

/**
 * Decides whether an endpoint has capacity for a request: a model endpoint has, while the first event is predicted
 * within the objective and a slot is free.
 */
final class EndpointRoom {

    /** Fraction of the objective that is reserved for errors of the prediction. */
    private static final double OBJECTIVE_KEPT = 0.2;

    /**
     * Fraction of an endpoint's slots that is reserved for requests which can still meet their objective. At full load
     * late responses, which are worth a quarter, would otherwise take slots from responses that are still in time.
     */
    private static final double SLOTS_KEPT_FROM_LATE = 0.25;

    /**
     * Fraction of the objective for which a late request may wait behind others. The processing of its own prompt may
     * take longer.
     */
    private static final double LATE_OBJECTIVE_PART = 0.5;

    /** Number of requests that a plain endpoint may hold per slot, its queue included, before requests are refused. */
    private static final double PLAIN_SLOTS = 2;

    /** Predicted delay per slot's worth of requests in the queue of a full plain endpoint, in milliseconds. */
    private static final double PLAIN_ROUND_MILLIS = 80;

    /** Number of requests that a model endpoint may hold per slot. */
    private static final double MODEL_SLOTS = 1;

    private EndpointRoom() {}

    /**
     * Returns how long a request may wait for a free slot and still meet its objective, assuming that it then gets an
     * idle endpoint.
     *
     * @param request the request to send
     * @return milliseconds; 0 or less if it must not wait, as for plain services, whose requests are short
     */
    static long spareMillis(Wanted wanted) {
        return wanted.model()
                .map(model -> aloneMillis(model, wanted.promptTokens()))
                .map(least -> Math.round(millisToBegin(wanted) - least))
                .orElse(0L);
    }

    /** Returns whether a response cannot meet its objective at any endpoint. */
    private static boolean tooLate(Wanted wanted) {
        return wanted.late() || spareMillis(wanted) <= 0;
    }

    /** Returns the time within which the first event must be predicted, in milliseconds. */
    private static double millisToBegin(Wanted wanted) {
        return wanted.millisToObjective() - wanted.objectiveMillis() * OBJECTIVE_KEPT;
    }

    /** Returns whether an eligible endpoint has capacity for a request. */
    static boolean isFor(Wanted wanted, EndpointEntry endpoint, EndpointLoad load, long nowMillis) {
        if (!load.restAllows(nowMillis)) {
            return false;
        }
        int requests = load.requests(nowMillis);
        if (wanted.model().isEmpty()) {
            return requests < endpoint.slots() * PLAIN_SLOTS;
        }
        if (!load.ownsPlace(nowMillis)) {
            return false;
        }
        double slots = endpoint.slots() * MODEL_SLOTS;
        double predicted = figuresMillis(wanted, load, nowMillis);
        if (tooLate(wanted)) {
            double behindOthers = predicted - aloneMillis(wanted.model().get(), wanted.promptTokens());
            return requests < slots * (1 - SLOTS_KEPT_FROM_LATE)
                    && behindOthers < wanted.objectiveMillis() * LATE_OBJECTIVE_PART
                    && predicted < wanted.millisLeft();
        }
        return requests < slots && predicted < millisToBegin(wanted);
    }

    /**
     * Predicts the time until the first event of a request's response, in milliseconds, corrected by the recent delays
     * of first events at the endpoint. Used to compare endpoints, not to decide about capacity: when links are
     * saturated all endpoints are slow, and a request that waits for a fast one is certainly late.
     */
    static double predictedMillis(Wanted wanted, EndpointEntry endpoint, EndpointLoad load, long nowMillis) {
        if (wanted.model().isEmpty()) {
            return load.requests(nowMillis) * PLAIN_ROUND_MILLIS / endpoint.slots();
        }
        return figuresMillis(wanted, load, nowMillis) * load.firstEvents().factor(nowMillis);
    }

    /** Predicts the time until the first event from the service's model profile and the known load of the endpoint. */
    private static double figuresMillis(Wanted wanted, EndpointLoad load, long nowMillis) {
        return firstEvent(
                wanted.model().get(),
                load.requests(nowMillis),
                load.waitingPromptTokens(nowMillis) + wanted.promptTokens());
    }

    /** Predicts the time until the first event at an idle endpoint. */
    private static double aloneMillis(ModelService model, int promptTokens) {
        return firstEvent(model, 0, promptTokens);
    }

    /**
     * Predicts the time until the first event: the steps in progress, the prompts ahead and the request's own prompt,
     * and its first steps.
     */
    private static double firstEvent(ModelService model, int requests, int promptTokens) {
        double step = model.stepMillis() + model.stepMillisPerSequence() * requests;
        double steps = model.stride() * step;
        return 2 * steps + promptTokens / model.prefillTokensPerMilli();
    }
}
