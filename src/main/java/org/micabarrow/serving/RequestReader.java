package org.micabarrow.serving;

import io.undertow.server.HttpServerExchange;
import java.util.Optional;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.routing.RouteManifest;

/** Reads client requests from the wire. */
public interface RequestReader {

    /** The result of reading a request. */
    sealed interface ReadResult {

        /**
         * A request that is allowed.
         *
         * @param request the request
         */
        record Allowed(ClientRequest request) implements ReadResult {}

        /**
         * A request that is refused.
         *
         * @param status the HTTP status of the response
         * @param reason the reason, for the client and the log
         */
        record Refused(int status, String reason) implements ReadResult {}
    }

    /**
     * Checks the head of a request, whose body may still be to come.
     *
     * @param exchange the exchange
     * @param manifest the active manifest
     * @return the reason for refusing the request whatever its body; empty if there is none
     */
    Optional<ReadResult.Refused> check(HttpServerExchange exchange, RouteManifest manifest);

    /**
     * Reads a request.
     *
     * @param exchange the exchange, whose body has been received
     * @param body the body
     * @param manifest the active manifest
     * @param nowMillis the time on the monotonic clock
     * @return the request, or the reason for refusing it
     */
    ReadResult read(HttpServerExchange exchange, byte[] body, RouteManifest manifest, long nowMillis);

    /**
     * The client's id of a request, for logs.
     *
     * @param exchange the exchange
     * @return the id, or a dash if there is none
     */
    String id(HttpServerExchange exchange);
}
