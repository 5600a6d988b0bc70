package org.micabarrow.platform.standin;

import java.util.Map;
import java.util.Optional;
import org.micabarrow.clock.MonotonicClock;
import org.micabarrow.platform.standin.HostedEndpointStandin.Behaviour;

/**
 * A request as it came in.
 *
 * @param method its method
 * @param target its path and query
 * @param headers its headers, the first value of each
 * @param body its body
 * @param atMillis when it came, on the clock of {@link MonotonicClock}
 * @param does what is done with it; empty if the endpoint ends by it
 * @param leaving whether the endpoint said that it leaves when it answered
 */
public record Received(
        String method,
        String target,
        Map<String, String> headers,
        String body,
        long atMillis,
        Optional<Behaviour> does,
        boolean leaving) {

    /**
     * Whether the endpoint began to run it.
     *
     * @return false if it was refused, in whatever form
     */
    public boolean ran() {
        return does.filter(one ->
                        one == Behaviour.REFUSE || one == Behaviour.REFUSE_AND_REST || one == Behaviour.MISDIRECT)
                .isEmpty();
    }
}
