package org.micabarrow.routing;

import java.util.Objects;
import java.util.Optional;

/**
 * The class by which a request competes with others for capacity.
 *
 * @param priority its priority, 0 is the most urgent
 * @param organisation the owner of its client's key; empty on open routes
 */
public record RequestClass(int priority, Optional<String> organisation) {

    /** The class of a request on an open route without a priority. */
    private static final RequestClass USUAL = new RequestClass(0, Optional.empty());

    /** Checks that no component is null. */
    public RequestClass {
        Objects.requireNonNull(organisation, "organisation is null");
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
