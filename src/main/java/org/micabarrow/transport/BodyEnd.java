package org.micabarrow.transport;

import io.undertow.client.ClientResponse;
import io.undertow.server.Connectors;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;

/** How the end of a response body was recognised. */
public enum BodyEnd {

    /** By a length or by a last chunk: the body is whole. */
    STATED,

    /** By the end of the connection: only the content itself can show whether the body is whole. */
    CONNECTION;

    static BodyEnd of(ClientResponse response) {
        HeaderMap headers = response.getResponseHeaders();
        boolean stated = isChunked(headers)
                || headers.contains(Headers.CONTENT_LENGTH)
                || !Connectors.isEntityBodyAllowed(response.getResponseCode());
        return stated ? STATED : CONNECTION;
    }

    /** Whether a message's body consists of chunks. */
    static boolean isChunked(HeaderMap headers) {
        return Headers.CHUNKED.toString().equalsIgnoreCase(headers.getLast(Headers.TRANSFER_ENCODING));
    }
}
