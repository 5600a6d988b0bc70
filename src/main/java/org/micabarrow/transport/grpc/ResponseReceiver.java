package org.micabarrow.transport.grpc;

import com.codahale.metrics.MetricRegistry;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.calls.ResponseListener;
import org.micabarrow.coordination.membership.PeerView;
import org.micabarrow.protocol.ResponseMessages;
import org.micabarrow.protocol.StatusMessages;
import org.micabarrow.protocol.wire.HandleReply;
import org.micabarrow.protocol.wire.HandleRequest;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Replica;

/** Receives the response to one attempt, requesting one part at a time from the sender. */
final class ResponseReceiver implements ClientResponseObserver<HandleRequest, HandleReply> {

    private final Replica replica;
    private final String attempt;
    private final ResponseListener listener;
    private final Consumer<PeerView.Load> loadListener;
    private final InstantSource clock;
    private final MetricRegistry metrics;
    private final AtomicBoolean finished = new AtomicBoolean();
    private volatile ClientCallStreamObserver<HandleRequest> call;

    ResponseReceiver(
            Replica replica,
            String attempt,
            ResponseListener listener,
            Consumer<PeerView.Load> loadListener,
            InstantSource clock,
            MetricRegistry metrics) {
        this.replica = replica;
        this.attempt = attempt;
        this.listener = listener;
        this.loadListener = loadListener;
        this.clock = clock;
        this.metrics = metrics;
    }

    @Override
    public void beforeStart(ClientCallStreamObserver<HandleRequest> stream) {
        call = stream;
        stream.disableAutoRequestWithInitial(1);
    }

    @Override
    public void onNext(HandleReply reply) {
        if (!reply.getAttempt().equals(attempt)) {
            metrics.counter("answers.foreign").inc();
            call.request(1);
            return;
        }
        switch (reply.getPartCase()) {
            case HEAD -> {
                listener.onHead(ResponseMessages.headOf(reply));
                call.request(1);
            }
            case DATA -> listener.onData(reply.getData().toByteArray(), () -> call.request(1));
            case END -> {
                loadListener.accept(StatusMessages.fromWire(reply.getLoad(), clock.millis()));
                finish(ResponseMessages.fromWire(replica.instance(), reply.getEnd()));
                call.request(1);
            }
            default -> call.request(1);
        }
    }

    @Override
    public void onError(Throwable error) {
        finish(CallFaults.outcomeOf(replica.instance(), error));
    }

    @Override
    public void onCompleted() {
        finish(Outcome.unknown(Fault.of(
                Step.ANSWER,
                replica.instance(),
                Reason.UNREACHABLE,
                "the response stream completed without an outcome")));
    }

    private void finish(Outcome outcome) {
        if (finished.compareAndSet(false, true)) {
            listener.onEnd(outcome);
        }
    }

    /** Cancels the call; the listener still receives exactly one outcome. */
    void cancel() {
        call.cancel("the caller disconnected", null);
    }
}
