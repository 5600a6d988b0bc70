package org.micabarrow.coordination.endpoint;

import java.util.Optional;
import java.util.function.Consumer;
import org.micabarrow.state.Fault;

/** Requests from an agent to the endpoint beside it. */
public interface EndpointCalls {

    /**
     * Sends a request.
     *
     * @param call the request
     * @param listener receives the answer, always with an end or a failure
     * @return cancels the request when run
     */
    Runnable send(Call call, Listener listener);

    /**
     * Asks whether the endpoint still runs.
     *
     * @param callback receives once, on any thread, whether it answered a query that was sent now; false after a second
     *     without an answer
     */
    void askWhetherRunning(Consumer<Boolean> callback);

    /**
     * A request to an endpoint.
     *
     * @param attempt the attempt's id
     * @param method the HTTP method
     * @param path the path
     * @param contentType the body's type
     * @param body the body
     * @param priority 0 for the most urgent
     * @param version the version that must answer, empty for a service
     */
    record Call(
            String attempt,
            String method,
            String path,
            String contentType,
            byte[] body,
            int priority,
            String version) {}

    /** Receives an endpoint's answer, one call at a time. */
    interface Listener {

        /**
         * The answer begins.
         *
         * @param status the HTTP status
         * @param contentType the body's type
         * @param attempt the attempt that the endpoint names, if it names one
         * @param version the version that the endpoint names, if it names one
         */
        void onHead(int status, String contentType, Optional<String> attempt, Optional<String> version);

        /**
         * The next part of the body.
         *
         * @param data the bytes
         * @param more to be run when the next part may come
         */
        void onData(byte[] data, Runnable more);

        /**
         * The answer has ended without an error of the connection.
         *
         * @param endStated whether its body stated its end; otherwise it ended with the connection, as it also does if the
         *     endpoint has died
         */
        void onComplete(boolean endStated);

        /**
         * The answer broke off or never began.
         *
         * @param fault why
         * @param sent whether the request may have reached the endpoint
         */
        void onFailed(Fault fault, boolean sent);
    }
}
