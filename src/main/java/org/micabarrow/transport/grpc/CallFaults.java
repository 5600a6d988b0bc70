package org.micabarrow.transport.grpc;

import io.grpc.Status;
import java.net.ConnectException;
import java.time.Duration;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;

/** Maps errors of gRPC calls between processes to faults and outcomes. */
final class CallFaults {

    /** The retry delay of a request that was never sent; it is short because another instance may accept the request at once. */
    private static final Duration RETRY_AFTER = Duration.ofMillis(200);

    private CallFaults() {}

    /** Returns the outcome of a failed call. Only a connection that could not be opened proves that nothing was sent. */
    static Outcome outcomeOf(String peer, Throwable error) {
        Fault fault = of(Step.DISPATCH, peer, error);
        boolean neverSent = Status.fromThrowable(error).getCause() instanceof ConnectException;
        return neverSent ? Outcome.notRun(fault, RETRY_AFTER) : Outcome.unknown(fault);
    }

    /** Returns the fault for a call's error, with the server's description as message if it gave one. */
    static Fault of(Step step, String peer, Throwable error) {
        Status status = Status.fromThrowable(error);
        Reason reason = switch (status.getCode()) {
            case DEADLINE_EXCEEDED -> Reason.TIMEOUT;
            case CANCELLED -> Reason.CANCELLED;
            case OUT_OF_RANGE -> Reason.GONE;
            case NOT_FOUND -> Reason.NOT_READY;
            case PERMISSION_DENIED -> Reason.OUTSIDE_PLACEMENT;
            default -> Reason.UNREACHABLE;
        };
        String message = status.getDescription() == null ? status.getCode().name() : status.getDescription();
        return Fault.of(step, peer, reason, message);
    }
}
