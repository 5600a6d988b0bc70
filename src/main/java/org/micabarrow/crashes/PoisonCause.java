package org.micabarrow.crashes;

import java.util.Set;

/**
 * What is considered to crash the endpoints that run requests with it.
 *
 * @param causes one cause, or several that were involved in the same crashes; a request that holds all of them holds
 *     the one that crashes endpoints
 * @param crashes the crashes attributed to it
 */
record PoisonCause(Set<Cause> causes, Set<String> crashes) {

    PoisonCause {
        causes = Set.copyOf(causes);
        crashes = Set.copyOf(crashes);
    }

    /** Returns whether a request certainly holds the cause. */
    boolean isIn(RequestCauses request) {
        return causes.stream().allMatch(request::holds);
    }
}
