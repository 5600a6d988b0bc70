package org.micabarrow.transport;

import io.undertow.client.ClientResponse;
import java.util.Optional;

/** Finds the heads of responses after which Undertow's client does not know where the response ends. */
final class ResponseHeads {

    /** The lowest status of a response that is not followed by another one. */
    private static final int FINAL = 200;

    private ResponseHeads() {}

    /** Why a response cannot be read; empty if it can. */
    static Optional<String> fault(ClientResponse response) {
        // The client waits for another head after status 100 only.
        return response.getResponseCode() < FINAL
                ? Optional.of("an interim response came, with status " + response.getResponseCode())
                : Optional.empty();
    }
}
