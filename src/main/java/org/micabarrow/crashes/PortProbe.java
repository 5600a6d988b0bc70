package org.micabarrow.crashes;

import java.util.function.Consumer;
import org.micabarrow.routing.EndpointRegistration;

/** Checks whether an endpoint's process still exists after a connection to it broke. */
@FunctionalInterface
public interface PortProbe {

    /**
     * Attempts to connect to the endpoint.
     *
     * @param endpoint the endpoint
     * @param callback called once, on the traffic thread, with whether the instance refused the connection because no
     *     process listens on the port; false if the instance did not respond, which proves nothing
     */
    void probe(EndpointRegistration endpoint, Consumer<Boolean> callback);
}
