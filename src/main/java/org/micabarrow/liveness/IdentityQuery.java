package org.micabarrow.liveness;

import java.util.Objects;
import java.util.function.Consumer;
import org.micabarrow.routing.EndpointRegistration;

/** Asks the endpoint at an address which one it is. */
@FunctionalInterface
public interface IdentityQuery {

    /**
     * Sends the query.
     *
     * @param endpoint the endpoint that is expected there
     * @param callback called once, on the traffic thread, with the reply
     */
    void send(EndpointRegistration endpoint, Consumer<Reply> callback);

    /** How a query ended. */
    sealed interface Reply {

        /**
         * The endpoint answered.
         *
         * @param identity what it says of itself
         */
        record Answered(EndpointIdentity identity) implements Reply {

            /** Checks that the identity is not null. */
            public Answered {
                Objects.requireNonNull(identity, "identity is null");
            }
        }

        /** The connection was accepted and stayed open, but no answer came in time. */
        record Unanswered() implements Reply {}

        /**
         * The connection was accepted and ended without an answer.
         *
         * @param reason how it ended
         */
        record Dropped(String reason) implements Reply {

            /** Checks that the reason is not null. */
            public Dropped {
                Objects.requireNonNull(reason, "reason is null");
            }
        }

        /**
         * No connection was established in time.
         *
         * @param reason why
         */
        record NotConnected(String reason) implements Reply {

            /** Checks that the reason is not null. */
            public NotConnected {
                Objects.requireNonNull(reason, "reason is null");
            }
        }
    }
}
