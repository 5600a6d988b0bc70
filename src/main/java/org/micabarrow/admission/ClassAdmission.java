package org.micabarrow.admission;

import java.util.Map;
import java.util.OptionalLong;
import org.micabarrow.routing.RequestClass;
import org.micabarrow.routing.RequestSize;

/**
 * Decides with which priority the requests of an entry compete for slots, and measures the demand that it tells agents.
 * Within a class, organisations that are over their part rank behind the others; what has been served less often than
 * its floor competes with the most urgent. While the routes of all requests have one priority, it changes nothing. Not thread-safe:
 * confined to one thread.
 */
public final class ClassAdmission {

    /** The priority with which requests compete that are owed a slot because they are below their floor. */
    private static final int HIGHEST_PRIORITY = 0;

    /** The priority with which requests compete whose objective has passed. */
    private static final int LOWEST_PRIORITY = 255;

    /** Each class has two levels, the second for organisations that are over their part. */
    private static final int LEVELS_PER_CLASS = 2;

    /**
     * The part of the objective of a more urgent class that the prompts of others may take up at an endpoint. The rest is
     * for the urgent request's own prompt and for those that are sent at the same time.
     */
    private static final double MAX_DELAY_FRACTION = 0.5;

    /** The part of a class that is served while a shortage passes by itself. */
    private static final double PASSING_SHORTAGE_FRACTION = 0.9;

    /** The shortest wait that is forecast, in milliseconds: sparing a client less than that is not worth an error. */
    private static final long MIN_FORECAST_WAIT_MILLIS = 300;

    /** The shortest delay that a client is told, in milliseconds: its connection takes some of it. */
    private static final long MIN_RETRY_MILLIS = 100;

    private final DemandMeter meter = new DemandMeter();
    private final OrganisationShares shares = new OrganisationShares();
    private final ServedFractions fractions = new ServedFractions();
    private final WaitForecast forecast = new WaitForecast();
    private final PriorityMix mix = new PriorityMix();
    private boolean divided;

    /** How a request competes for slots. */
    public enum Standing {
        /** By the priority of its class. */
        USUAL,
        /** Behind its class, because its organisation is over its part. */
        OVER_ITS_PART,
        /** With the most urgent, because it is below its floor. */
        BELOW_ITS_FLOOR
    }

    // -- decisions

    /**
     * Returns the class with which a request competes now.
     *
     * @param requestClass the class by its route and organisation
     * @param size its size
     * @param late whether its objective has passed
     * @param nowMillis the time on the monotonic clock
     * @return the class by which slots are granted
     */
    public RequestClass competing(RequestClass requestClass, RequestSize size, boolean late, long nowMillis) {
        if (!divided) {
            return new RequestClass(level(requestClass, Standing.USUAL), requestClass.organisation());
        }
        return new RequestClass(
                late ? LOWEST_PRIORITY : level(requestClass, standing(requestClass, size, nowMillis)),
                requestClass.organisation(),
                maxFirstEventMillis(requestClass.routePriority(), nowMillis));
    }

    private OptionalLong maxFirstEventMillis(int priority, long nowMillis) {
        OptionalLong objective = mix.shortestMoreUrgentObjective(priority, nowMillis);
        return objective.isPresent()
                ? OptionalLong.of(Math.round(objective.getAsLong() * MAX_DELAY_FRACTION))
                : objective;
    }

    private static int level(RequestClass requestClass, Standing standing) {
        int first = requestClass.priority() * LEVELS_PER_CLASS;
        return switch (standing) {
            case USUAL -> first;
            case OVER_ITS_PART -> first + 1;
            case BELOW_ITS_FLOOR -> HIGHEST_PRIORITY;
        };
    }

    /**
     * Returns how a request competes.
     *
     * @param requestClass the class by its route and organisation
     * @param size its size
     * @param nowMillis the time on the monotonic clock
     * @return its standing; usual while routes do not differ in priority
     */
    public Standing standing(RequestClass requestClass, RequestSize size, long nowMillis) {
        if (!divided) {
            return Standing.USUAL;
        }
        int priority = requestClass.priority();
        if (fractions.belowFloor(priority, requestClass.organisation(), size.promptTokens(), nowMillis)) {
            return Standing.BELOW_ITS_FLOOR;
        }
        return shares.overItsPart(priority, requestClass.organisation(), nowMillis)
                ? Standing.OVER_ITS_PART
                : Standing.USUAL;
    }

    /**
     * Returns whether a request would wait for longer than it may, at the rate at which its class was sent lately.
     *
     * @param competing the class with which it competes
     * @param waiting the number of requests that wait, by priority
     * @param maxWaitMillis how long it may wait, in milliseconds
     * @param nowMillis the time on the monotonic clock
     * @return false also for short waits, for the most urgent class, and while routes do not differ in priority
     */
    public boolean waitsInVain(
            RequestClass competing, Map<Integer, Integer> waiting, long maxWaitMillis, long nowMillis) {
        return divided
                && maxWaitMillis >= MIN_FORECAST_WAIT_MILLIS
                && forecast.millis(competing.priority(), waiting, nowMillis).orElse(0) > maxWaitMillis;
    }

    /**
     * Returns the time after which a refused client is told to retry: if nearly all requests of its class are served,
     * when those that wait have been sent.
     *
     * @param requestClass the class by its route and organisation
     * @param waiting the number of requests that wait, by priority
     * @param usualMillis the delay while no room is expected
     * @param nowMillis the time on the monotonic clock
     * @return milliseconds, at most the usual ones
     */
    public long retryAfterMillis(
            RequestClass requestClass, Map<Integer, Integer> waiting, long usualMillis, long nowMillis) {
        if (!divided || fractions.ofClass(requestClass.priority(), nowMillis) < PASSING_SHORTAGE_FRACTION) {
            return usualMillis;
        }
        int level = level(requestClass, Standing.USUAL);
        OptionalLong expected = forecast.millis(level, waiting, nowMillis);
        return expected.isEmpty()
                ? usualMillis
                : Math.clamp(expected.getAsLong(), Math.min(MIN_RETRY_MILLIS, usualMillis), usualMillis);
    }

    // -- measurements

    /**
     * Records an arrival.
     *
     * @param requestClass the class by its route and organisation
     * @param size its size
     * @param objectiveMillis the time within which its response should begin
     * @param late whether that time has passed
     * @param nowMillis the time on the monotonic clock
     */
    public void arrived(
            RequestClass requestClass, RequestSize size, long objectiveMillis, boolean late, long nowMillis) {
        mix.arrived(requestClass.routePriority(), objectiveMillis, nowMillis);
        divided = mix.differs(nowMillis);
        if (divided && !late) {
            meter.arrived(competing(requestClass, size, false, nowMillis).priority(), nowMillis);
        }
    }

    /**
     * Records that a request was sent for the first time.
     *
     * @param requestClass the class by its route and organisation
     * @param competing the class with which it competed
     * @param size its size
     * @param nowMillis the time on the monotonic clock
     */
    public void sent(RequestClass requestClass, RequestClass competing, RequestSize size, long nowMillis) {
        forecast.sent(competing.priority(), nowMillis);
        fractions.ended(requestClass.priority(), requestClass.organisation(), size.promptTokens(), true, nowMillis);
        requestClass
                .organisation()
                .ifPresent(name -> shares.served(requestClass.priority(), name, tokens(size), nowMillis));
    }

    /**
     * Records that a request was refused for lack of a slot.
     *
     * @param requestClass the class by its route and organisation
     * @param size its size
     * @param nowMillis the time on the monotonic clock
     */
    public void refused(RequestClass requestClass, RequestSize size, long nowMillis) {
        fractions.ended(requestClass.priority(), requestClass.organisation(), size.promptTokens(), false, nowMillis);
        requestClass
                .organisation()
                .ifPresent(name -> shares.demanded(requestClass.priority(), name, tokens(size), nowMillis));
    }

    private static int tokens(RequestSize size) {
        return size.promptTokens() + size.maxAnswerTokens().orElse(0);
    }

    // -- messages

    /**
     * Returns the demand that agents are told.
     *
     * @param waiting the number of requests that wait, by priority
     * @param nowMillis the time on the monotonic clock
     * @return the demand; none while routes do not differ in priority
     */
    public EntryDemand demand(Map<Integer, Integer> waiting, long nowMillis) {
        return divided
                ? new EntryDemand(meter.classes(waiting, nowMillis), shares.heaviest(nowMillis))
                : EntryDemand.none();
    }

    /**
     * Records what an agent grants.
     *
     * @param grants the grants
     * @param entries the number of entries that query the agent
     * @param nowMillis the time on the monotonic clock
     */
    public void granted(SlotGrants grants, int entries, long nowMillis) {
        shares.totalsReported(grants.organisations(), entries, nowMillis);
    }
}
