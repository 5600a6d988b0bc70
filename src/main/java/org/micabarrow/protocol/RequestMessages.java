package org.micabarrow.protocol;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.micabarrow.coordination.calls.AgentRequest;
import org.micabarrow.coordination.claims.Claim;
import org.micabarrow.protocol.wire.HandleRequest;

/** Converts requests and claims to protobuf messages and back. */
public final class RequestMessages {

    private RequestMessages() {}

    /**
     * Converts a request to a message.
     *
     * @param request the request that an entry sends to an agent
     * @return the message
     */
    public static HandleRequest toWire(AgentRequest request) {
        HandleRequest.Builder message = HandleRequest.newBuilder()
                .setAttempt(request.attempt())
                .setGeneration(request.generation())
                .setPlacement(request.placement())
                .setOrganisation(request.organisation())
                .setRemainingMillis(request.remainingMillis())
                .setPriority(request.priority())
                .setStream(request.stream())
                .setMethod(request.method())
                .setPath(request.path())
                .setContentType(request.contentType())
                .setBody(ByteString.copyFrom(request.body()));
        request.claim().map(RequestMessages::toWire).ifPresent(message::setClaim);
        return message.build();
    }

    /**
     * Reads a request from a message.
     *
     * @param message the message
     * @return the request
     */
    public static AgentRequest fromWire(HandleRequest message) {
        return new AgentRequest(
                message.getAttempt(),
                message.getGeneration(),
                message.getPlacement(),
                message.getOrganisation(),
                message.getRemainingMillis(),
                message.getPriority(),
                message.getStream(),
                message.getMethod(),
                message.getPath(),
                message.getContentType(),
                message.getBody().toByteArray(),
                message.hasClaim() ? Optional.of(fromWire(message.getClaim())) : Optional.empty());
    }

    /**
     * Converts a claim to a message.
     *
     * @param claim the claim
     * @return the message
     */
    public static org.micabarrow.protocol.wire.Claim toWire(Claim claim) {
        return org.micabarrow.protocol.wire.Claim.newBuilder()
                .setKey(claim.key())
                .setBodyDigest(claim.bodyDigest())
                .setInstance(claim.instance())
                .setEpoch(claim.epoch())
                .setLatestStartMillis(claim.latestStartMillis())
                .setAttempt(claim.attempt())
                .build();
    }

    /**
     * Reads a claim from a message. Messages do not carry {@link Claim#after}, so it is empty.
     *
     * @param message the message
     * @return the claim
     */
    public static Claim fromWire(org.micabarrow.protocol.wire.Claim message) {
        return new Claim(
                message.getKey(),
                message.getBodyDigest(),
                message.getInstance(),
                message.getEpoch(),
                message.getLatestStartMillis(),
                message.getAttempt(),
                Optional.empty());
    }
}
