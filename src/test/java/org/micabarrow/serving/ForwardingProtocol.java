package org.micabarrow.serving;

import java.util.Optional;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.liveness.EndpointIdentity;
import org.micabarrow.platform.EndpointHeaders;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.transport.HttpCall;

/** The platform's wire format; a test overrides the step at which it acts. */
class ForwardingProtocol implements EndpointProtocol {

    private final EndpointHeaders headers = new EndpointHeaders();

    @Override
    public HttpCall encode(ClientRequest request, AttemptParameters parameters) {
        return headers.encode(request, parameters);
    }

    @Override
    public ResponseHead decodeHead(ClientRequest request, int status, HeaderFields received) {
        return headers.decodeHead(request, status, received);
    }

    @Override
    public HttpCall encodeIdentityQuery(EndpointRegistration endpoint, Optional<String> healthPath) {
        return headers.encodeIdentityQuery(endpoint, healthPath);
    }

    @Override
    public EndpointIdentity decodeIdentity(HeaderFields received, byte[] body) {
        return headers.decodeIdentity(received, body);
    }
}
