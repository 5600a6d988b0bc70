package org.micabarrow.routing;

/** Whether an endpoint has room for a request, which is so while its first event is expected within the objective. */
final class EndpointCapacity {

    /** The part of the objective that is kept for what the prediction of the first event misses. */
    private static final double OBJECTIVE_KEPT = 0.2;

    /**
     * The part of an endpoint's slots that is kept from requests that cannot be in time any more: at full load their answers, worth a
     * quarter, would take the places of answers that can still be in time.
     */
    private static final double SLOTS_KEPT_FROM_LATE = 0.25;

    /** The part of the objective for which a late request may wait behind others; its own prompt may take longer than that. */
    private static final double LATE_OBJECTIVE_PART = 0.5;

    /** How many times its slots a plain endpoint may hold, its queue included, before requests are refused. */
    private static final double PLAIN_SLOTS = 2;

    /** What a full plain endpoint's queue is expected to cost for each slot's worth of requests, in milliseconds. */
    private static final double PLAIN_ROUND_MILLIS = 80;

    /** How many requests an endpoint of a model may hold in relation to its slots. */
    private static final double MODEL_SLOTS = 1;

    private EndpointCapacity() {}

    /**
     * How long a request may wait for room and still be in time, if it then finds an endpoint that has nothing else to read.
     *
     * @param wanted what is to be sent
     * @return milliseconds; not above 0 if it may not wait, as those for plain services, whose requests are short
     */
    static long spareMillis(Wanted wanted) {
        return wanted.model()
                .map(model -> aloneMillis(model, wanted.promptTokens()))
                .map(least -> Math.round(millisToBegin(wanted) - least))
                .orElse(0L);
    }

    /** Whether an answer cannot be in time any more, wherever the request is sent. */
    private static boolean tooLate(Wanted wanted) {
        return wanted.late() || spareMillis(wanted) <= 0;
    }

    /** Within which the first event must be predicted to come. */
    private static double millisToBegin(Wanted wanted) {
        return wanted.millisToObjective() - wanted.objectiveMillis() * OBJECTIVE_KEPT;
    }

    /** Whether an endpoint that may get a request has room for it. */
    static boolean isFor(Wanted wanted, EndpointRegistration endpoint, EndpointLoad load, long nowMillis) {
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
     * When the first event of a request's answer is expected, in milliseconds from now, by what first events at the endpoint took
     * lately. It says which endpoint is the quickest, not whether one has room: where links are full all are slow, and a request that
     * waits for a quick one is late for certain.
     */
    static double predictedMillis(Wanted wanted, EndpointRegistration endpoint, EndpointLoad load, long nowMillis) {
        if (wanted.model().isEmpty()) {
            return load.requests(nowMillis) * PLAIN_ROUND_MILLIS / endpoint.slots();
        }
        return figuresMillis(wanted, load, nowMillis) * load.firstEvents().factor(nowMillis);
    }

    /** When the first event is expected by the figures of the service and what is known of the endpoint's load. */
    private static double figuresMillis(Wanted wanted, EndpointLoad load, long nowMillis) {
        return firstEvent(
                wanted.model().get(),
                load.requests(nowMillis),
                load.waitingPromptTokens(nowMillis) + wanted.promptTokens());
    }

    /** When the first event is expected where nothing else runs. */
    private static double aloneMillis(ModelProfile model, int promptTokens) {
        return firstEvent(model, 0, promptTokens);
    }

    /** When the first event is expected: after the steps under way, the prompts ahead, its own, and its first steps. */
    private static double firstEvent(ModelProfile model, int requests, int promptTokens) {
        double step = model.stepMillis() + model.stepMillisPerSequence() * requests;
        double steps = model.stride() * step;
        return 2 * steps + promptTokens / model.prefillTokensPerMilli();
    }
}
