package org.micabarrow.transport;

import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.util.Optional;

/** Finds the heads of responses after which Undertow's client does not know where the response ends. */
final class ResponseHeads {

    /** The lowest status of a response that is not followed by another one. */
    private static final int FINAL = 200;

    private ResponseHeads() {}

    /** Why a response cannot be read; empty if it can. */
    static Optional<String> fault(ClientResponse response) {
        if (response.getResponseCode() < FINAL) {
            // The client waits for another head after status 100 only.
            return Optional.of("an interim response came, with status " + response.getResponseCode());
        }
        HeaderMap headers = response.getResponseHeaders();
        if (!isKnown(headers.get(Headers.TRANSFER_ENCODING))) {
            return Optional.of("its transfer coding is " + headers.get(Headers.TRANSFER_ENCODING));
        }
        return distinct(headers.get(Headers.CONTENT_LENGTH)) > 1
                ? Optional.of("its lengths are " + headers.get(Headers.CONTENT_LENGTH))
                : Optional.empty();
    }

    /** Whether the client can undo the coding: of any other it passes on the coded body, up to the end of the connection. */
    private static boolean isKnown(HeaderValues codings) {
        return codings == null
                || codings.stream()
                        .allMatch(coding -> Headers.CHUNKED.toString().equalsIgnoreCase(coding))
                || codings.stream()
                        .allMatch(coding -> Headers.IDENTITY.toString().equalsIgnoreCase(coding));
    }

    /** The number of different values. */
    private static long distinct(HeaderValues values) {
        return values == null ? 0 : values.stream().distinct().count();
    }
}
