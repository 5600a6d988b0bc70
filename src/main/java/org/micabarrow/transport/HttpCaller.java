package org.micabarrow.transport;

import java.time.Duration;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** Sends HTTP requests and waits for complete responses. */
@FunctionalInterface
public interface HttpCaller {

    /**
     * Sends a request and waits for the complete response.
     *
     * @param call the request
     * @param timeout the timeout for the complete response
     * @return the response, whatever its status
     */
    Result<HttpResponse> call(HttpCall call, Duration timeout);
}
