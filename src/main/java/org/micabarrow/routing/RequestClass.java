package org.micabarrow.routing;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The class by which a request competes with others for capacity.
 *
 * @param priority the rank by which it competes, 0 is the most urgent, see {@link #rank}
 * @param organisation the owner of its client's key; empty on open routes
 * @param maxFirstEventMillis the longest predicted time to its first event with which it is sent behind other prompts,
 *     so that its prompt does not delay more urgent requests; empty if there are none
 */
public record RequestClass(int priority, Optional<String> organisation, OptionalLong maxFirstEventMillis) {

    /** The class of a request on an open route without a priority. */
    private static final RequestClass USUAL = new RequestClass(0, Optional.empty());

    /** Checks that no component is null. */
    public RequestClass {
        Objects.requireNonNull(organisation, "organisation is null");
        Objects.requireNonNull(maxFirstEventMillis, "maxFirstEventMillis is null");
    }

    /**
     * Creates a class beside which none is more urgent.
     *
     * @param priority the rank by which it competes, 0 is the most urgent
     * @param organisation the owner of its client's key; empty on open routes
     */
    public RequestClass(int priority, Optional<String> organisation) {
        this(priority, organisation, OptionalLong.empty());
    }

    /** Returns whether prompts in front of more urgent requests stay short if the request is sent to an endpoint. */
    boolean delaysNoneMoreUrgent(double predictedMillis, double withoutOthersMillis) {
        return maxFirstEventMillis.isEmpty()
                || predictedMillis <= Math.max(maxFirstEventMillis.getAsLong(), withoutOthersMillis);
    }

    /** The least urgent priority that a rank distinguishes. */
    private static final int MAX_PRIORITY = 9;

    /**
     * Returns the rank of a request among all. The priority of its organisation takes precedence over that of its route;
     * the route decides among organisations of the same priority.
     *
     * @param priority the priority of its organisation if that has one, else of its route
     * @param routePriority the priority of its route
     * @return the rank, 0 is the most urgent
     */
    public static int rank(int priority, int routePriority) {
        return Math.clamp(priority, 0, MAX_PRIORITY) * (MAX_PRIORITY + 1) + Math.clamp(routePriority, 0, MAX_PRIORITY);
    }

    /**
     * Returns the priority of the request's route, by which requests of one organisation differ.
     *
     * @return the priority, 0 is the most urgent
     */
    public int routePriority() {
        return priority % (MAX_PRIORITY + 1);
    }

    /**
     * Returns the class of requests where neither priorities nor organisations differ.
     *
     * @return the class
     */
    public static RequestClass usual() {
        return USUAL;
    }
}
