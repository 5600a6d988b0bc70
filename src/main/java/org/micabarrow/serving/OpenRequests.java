package org.micabarrow.serving;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.micabarrow.steps.RepeatedTasks;

/** The requests that wait for an answer. Used by the one thread for traffic. */
final class OpenRequests {

    private final Set<Open> open = new LinkedHashSet<>();

    /** A request that waits. */
    interface Open {

        /** Looks whether the request is still well at its present endpoint. */
        void lookAfter();

        /** Answers the request by what is known of it, since it can be waited for no longer. */
        void end(String why);
    }

    void add(Open request) {
        open.add(request);
    }

    void remove(Open request) {
        open.remove(request);
    }

    /** Has every request end, whatever happens to one of them. */
    void endAll(String why) {
        List.copyOf(open).forEach(one -> RepeatedTasks.guarded("end", () -> one.end(why)));
    }

    /** Has every request looked after, whatever happens to one of them; those that end meanwhile leave the set. */
    void lookAfterAll() {
        List.copyOf(open).forEach(one -> RepeatedTasks.guarded("look-after", one::lookAfter));
    }
}
