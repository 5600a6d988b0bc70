package org.micabarrow.crashes;

import java.util.function.Consumer;
import org.micabarrow.routing.EndpointRegistration;

/** Finds out whether an endpoint's process is there after a connection to it broke. */
@FunctionalInterface
public interface PortProbe {

    /**
     * Tries to connect.
     *
     * @param endpoint the endpoint
     * @param then learns once, on the thread for traffic, whether its instance refused the connection since nobody listens;
     *     an instance that says nothing tells nothing
     */
    void ask(EndpointRegistration endpoint, Consumer<Boolean> then);
}
