package org.micabarrow.protocol;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.micabarrow.coordination.calls.AgentRequest;
import org.micabarrow.coordination.calls.AnswerHead;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.claims.Claim;
import org.micabarrow.coordination.claims.Ledger;
import org.micabarrow.coordination.membership.PeerView;
import org.micabarrow.coordination.membership.ReplicaView;
import org.micabarrow.protocol.wire.End;
import org.micabarrow.protocol.wire.HandleReply;
import org.micabarrow.protocol.wire.HandleRequest;
import org.micabarrow.protocol.wire.Head;
import org.micabarrow.protocol.wire.Load;
import org.micabarrow.protocol.wire.ReplicaStatus;
import org.micabarrow.protocol.wire.SettleReply;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;

/** Maps the messages between processes to what the coordination layer works with, and back. */
public final class Wire {

    private Wire() {}

    // -- requests

    /**
     * A request for the wire.
     *
     * @param request the request
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
        request.claim().map(Wire::toWire).ifPresent(message::setClaim);
        return message.build();
    }

    /**
     * A request from the wire.
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
     * A claim for the wire.
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
     * A claim from the wire.
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

    // -- answers

    /**
     * The head of an answer for the wire.
     *
     * @param head the head
     * @return the message
     */
    public static HandleReply toWire(AnswerHead head) {
        Head message = Head.newBuilder()
                .setStatus(head.status())
                .setContentType(head.contentType())
                .setVersion(head.version())
                .setInstance(head.instance())
                .setRegion(head.region())
                .setHall(head.hall())
                .build();
        return HandleReply.newBuilder()
                .setAttempt(head.attempt())
                .setGeneration(head.generation())
                .setHead(message)
                .build();
    }

    /**
     * The head of an answer from the wire.
     *
     * @param reply the message that carries it
     * @return the head
     */
    public static AnswerHead headOf(HandleReply reply) {
        Head head = reply.getHead();
        return new AnswerHead(
                reply.getAttempt(),
                head.getStatus(),
                head.getContentType(),
                head.getVersion(),
                head.getInstance(),
                head.getRegion(),
                head.getHall(),
                reply.getGeneration());
    }

    /**
     * An outcome for the wire.
     *
     * @param outcome the outcome
     * @return the message
     */
    public static End toWire(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Answered ignored ->
                End.newBuilder().setOutcome(End.Outcome.ANSWERED).build();
            case Outcome.NotRun(Fault fault, Duration retryAfter) ->
                End.newBuilder()
                        .setOutcome(End.Outcome.NOT_RUN)
                        .setReason(fault.reason().name())
                        .setMessage(fault.message())
                        .setRetryAfterMillis(retryAfter.toMillis())
                        .build();
            case Outcome.Unknown(Fault fault) ->
                End.newBuilder()
                        .setOutcome(End.Outcome.UNKNOWN)
                        .setReason(fault.reason().name())
                        .setMessage(fault.message())
                        .build();
        };
    }

    /**
     * An outcome from the wire. What is not understood counts as unknown.
     *
     * @param peer who sent it
     * @param end the message
     * @return the outcome
     */
    public static Outcome fromWire(String peer, End end) {
        Fault fault = Fault.of(Step.RUN, peer, reason(end.getReason()), end.getMessage());
        return switch (end.getOutcome()) {
            case ANSWERED -> Outcome.answered();
            case NOT_RUN -> Outcome.notRun(fault, Duration.ofMillis(end.getRetryAfterMillis()));
            default -> Outcome.unknown(fault);
        };
    }

    private static Reason reason(String name) {
        try {
            return Reason.valueOf(name);
        } catch (IllegalArgumentException e) {
            return Reason.UNKNOWN;
        }
    }

    /**
     * What became of a key, for the wire.
     *
     * @param settled its fate, empty if the claim names another process
     * @return the message
     */
    public static SettleReply toWire(Optional<Ledger.Settled> settled) {
        if (settled.isEmpty()) {
            return SettleReply.newBuilder().setState(SettleReply.State.LOST).build();
        }
        SettleReply.Builder reply = SettleReply.newBuilder()
                .setState(
                        switch (settled.get().fate()) {
                            case REFUSED -> SettleReply.State.REFUSED;
                            case RUNNING -> SettleReply.State.RUNNING;
                            case DONE -> SettleReply.State.DONE;
                        });
        settled.get()
                .answer()
                .ifPresent(answer -> reply.setHead(
                                Head.newBuilder().setStatus(answer.status()).setContentType(answer.contentType()))
                        .setAnswer(ByteString.copyFrom(answer.body())));
        return reply.build();
    }

    /**
     * What became of a key, from the wire.
     *
     * @param reply the message
     * @return its fate, empty if the claim names another process
     */
    public static Optional<Ledger.Settled> fromWire(SettleReply reply) {
        Optional<Ledger.Answer> answer = reply.hasHead()
                ? Optional.of(new Ledger.Answer(
                        reply.getHead().getStatus(),
                        reply.getHead().getContentType(),
                        reply.getAnswer().toByteArray()))
                : Optional.empty();
        return switch (reply.getState()) {
            case REFUSED -> Optional.of(new Ledger.Settled(Ledger.Fate.REFUSED, Optional.empty()));
            case RUNNING -> Optional.of(new Ledger.Settled(Ledger.Fate.RUNNING, Optional.empty()));
            case DONE -> Optional.of(new Ledger.Settled(Ledger.Fate.DONE, answer));
            default -> Optional.empty();
        };
    }

    // -- status

    /**
     * A replica for the wire.
     *
     * @param replica the replica
     * @return the message
     */
    public static ReplicaStatus toWire(ReplicaView replica) {
        return ReplicaStatus.newBuilder()
                .setPlacement(replica.placement())
                .setVersion(replica.version())
                .setState(replica.state().name().toLowerCase(Locale.ROOT))
                .setChunks(replica.chunks())
                .setTotal(replica.total())
                .setFault(replica.fault().map(Fault::toString).orElse(""))
                .setServes(replica.serving().isPresent())
                .setServing(replica.serving().orElse(""))
                .build();
    }

    /**
     * A replica from the wire.
     *
     * @param peer who sent it
     * @param message the message
     * @return the replica
     */
    public static ReplicaView fromWire(String peer, ReplicaStatus message) {
        return new ReplicaView(
                message.getPlacement(),
                message.getVersion(),
                ReplicaView.State.valueOf(message.getState().toUpperCase(Locale.ROOT)),
                message.getChunks(),
                message.getTotal(),
                message.getServes() ? Optional.of(message.getServing()) : Optional.empty(),
                message.getFault().isEmpty()
                        ? Optional.empty()
                        : Optional.of(Fault.of(Step.STATUS, peer, Reason.UNKNOWN, message.getFault())));
    }

    /**
     * A load from the wire.
     *
     * @param load the message
     * @param nowMillis when it came
     * @return the load
     */
    public static PeerView.Load fromWire(Load load, long nowMillis) {
        return new PeerView.Load(load.getInFlight(), load.getQueued(), load.getLimit(), nowMillis);
    }
}
