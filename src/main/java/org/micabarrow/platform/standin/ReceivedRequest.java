package org.micabarrow.platform.standin;

import java.util.Map;
import java.util.Optional;
import org.micabarrow.clock.MonotonicClock;
import org.micabarrow.platform.standin.HostedEndpointStandin.Behaviour;

/**
 * A request received by an endpoint stand-in.
 *
 * @param method its method
 * @param target its path and query
 * @param headers its headers, the first value of each
 * @param body its body
 * @param receivedMillis arrival time on the clock of {@link MonotonicClock}
 * @param behaviour how it was handled; empty if it crashed the endpoint
 * @param draining whether the endpoint announced draining when the request arrived
 */
public record ReceivedRequest(
        String method,
        String target,
        Map<String, String> headers,
        String body,
        long receivedMillis,
        Optional<Behaviour> behaviour,
        boolean draining) {

    /**
     * Returns whether the endpoint started to execute the request.
     *
     * @return false if it was refused or misdirected
     */
    public boolean wasExecuted() {
        return behaviour
                .filter(one -> one == Behaviour.REFUSE
                        || one == Behaviour.REFUSE_WITH_RETRY_AFTER
                        || one == Behaviour.MISDIRECT)
                .isEmpty();
    }
}
