package org.micabarrow.serving;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.micabarrow.steps.RepeatedTasks;

/** The requests in flight. Used by the traffic thread. */
final class InFlightRequests {

    private final Set<InFlightRequest> inFlight = new LinkedHashSet<>();

    /** A request in flight. */
    interface InFlightRequest {

        /** Checks whether the request should stay at its current endpoint. */
        void check();

        /** Ends the request with the outcome known so far, because it can no longer be waited for. */
        void end(String reason);
    }

    void add(InFlightRequest request) {
        inFlight.add(request);
    }

    void remove(InFlightRequest request) {
        inFlight.remove(request);
    }

    /** Ends every request, even if some of them throw. */
    void endAll(String reason) {
        List.copyOf(inFlight).forEach(request -> RepeatedTasks.runGuarded("end", () -> request.end(reason)));
    }

    /** Checks every request, even if some of them throw; requests that end meanwhile are removed. */
    void checkAll() {
        List.copyOf(inFlight).forEach(request -> RepeatedTasks.runGuarded("look-after", request::check));
    }
}
