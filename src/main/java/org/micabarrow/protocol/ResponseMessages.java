package org.micabarrow.protocol;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Optional;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.calls.ResponseHead;
import org.micabarrow.coordination.claims.Ledger;
import org.micabarrow.protocol.wire.End;
import org.micabarrow.protocol.wire.HandleReply;
import org.micabarrow.protocol.wire.Head;
import org.micabarrow.protocol.wire.SettleReply;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;

/** Converts responses, outcomes and the states of idempotency keys to protobuf messages and back. */
public final class ResponseMessages {

    private ResponseMessages() {}

    /**
     * Converts a response head to a message.
     *
     * @param head the status, content type and origin of the response
     * @return the message
     */
    public static HandleReply toWire(ResponseHead head) {
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
     * Reads the response head from a message.
     *
     * @param reply the message that carries the head
     * @return the response head
     */
    public static ResponseHead headOf(HandleReply reply) {
        Head head = reply.getHead();
        return new ResponseHead(
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
     * Converts the outcome of a request to a message.
     *
     * @param outcome how the request ended
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
     * Reads the outcome of a request from a message. An unrecognised outcome is read as unknown.
     *
     * @param peer the process that sent the message
     * @param end the message
     * @return how the request ended
     */
    public static Outcome fromWire(String peer, End end) {
        Fault fault = Fault.of(Step.RUN, peer, parseReason(end.getReason()), end.getMessage());
        return switch (end.getOutcome()) {
            case ANSWERED -> Outcome.answered();
            case NOT_RUN -> Outcome.notRun(fault, Duration.ofMillis(end.getRetryAfterMillis()));
            default -> Outcome.unknown(fault);
        };
    }

    private static Reason parseReason(String name) {
        try {
            return Reason.valueOf(name);
        } catch (IllegalArgumentException e) {
            return Reason.UNKNOWN;
        }
    }

    /**
     * Converts the state of an idempotency key to a message.
     *
     * @param settled the state, empty if the claim names another process
     * @return the message
     */
    public static SettleReply toWire(Optional<Ledger.Settlement> settled) {
        if (settled.isEmpty()) {
            return SettleReply.newBuilder().setState(SettleReply.State.LOST).build();
        }
        SettleReply.Builder reply = SettleReply.newBuilder()
                .setState(
                        switch (settled.get().state()) {
                            case REFUSED -> SettleReply.State.REFUSED;
                            case RUNNING -> SettleReply.State.RUNNING;
                            case DONE -> SettleReply.State.DONE;
                        });
        settled.get()
                .response()
                .ifPresent(response -> reply.setHead(
                                Head.newBuilder().setStatus(response.status()).setContentType(response.contentType()))
                        .setAnswer(ByteString.copyFrom(response.body())));
        return reply.build();
    }

    /**
     * Reads the state of an idempotency key from a message.
     *
     * @param reply the message
     * @return the state, empty if the claim names another process
     */
    public static Optional<Ledger.Settlement> fromWire(SettleReply reply) {
        Optional<Ledger.StoredResponse> response = reply.hasHead()
                ? Optional.of(new Ledger.StoredResponse(
                        reply.getHead().getStatus(),
                        reply.getHead().getContentType(),
                        reply.getAnswer().toByteArray()))
                : Optional.empty();
        return switch (reply.getState()) {
            case REFUSED -> Optional.of(new Ledger.Settlement(Ledger.KeyState.REFUSED, Optional.empty()));
            case RUNNING -> Optional.of(new Ledger.Settlement(Ledger.KeyState.RUNNING, Optional.empty()));
            case DONE -> Optional.of(new Ledger.Settlement(Ledger.KeyState.DONE, response));
            default -> Optional.empty();
        };
    }
}
