package org.micabarrow.transport.grpc;

import com.codahale.metrics.MetricRegistry;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.micabarrow.coordination.calls.AnswerListener;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.membership.PeerView;
import org.micabarrow.protocol.AnswerMessages;
import org.micabarrow.protocol.StatusMessages;
import org.micabarrow.protocol.wire.HandleReply;
import org.micabarrow.protocol.wire.HandleRequest;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Replica;

/** Receives one attempt's answer, one part at a time. */
final class AnswerReceiver implements ClientResponseObserver<HandleRequest, HandleReply> {

    private final Replica to;
    private final String attempt;
    private final AnswerListener listener;
    private final Consumer<PeerView.Load> loads;
    private final InstantSource clock;
    private final MetricRegistry metrics;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile ClientCallStreamObserver<HandleRequest> call;

    AnswerReceiver(
            Replica to,
            String attempt,
            AnswerListener listener,
            Consumer<PeerView.Load> loads,
            InstantSource clock,
            MetricRegistry metrics) {
        this.to = to;
        this.attempt = attempt;
        this.listener = listener;
        this.loads = loads;
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
                listener.onHead(AnswerMessages.headOf(reply));
                call.request(1);
            }
            case DATA -> listener.onData(reply.getData().toByteArray(), () -> call.request(1));
            case END -> {
                loads.accept(StatusMessages.fromWire(reply.getLoad(), clock.millis()));
                end(AnswerMessages.fromWire(to.instance(), reply.getEnd()));
                call.request(1);
            }
            default -> call.request(1);
        }
    }

    @Override
    public void onError(Throwable error) {
        end(CallFaults.outcomeOf(to.instance(), error));
    }

    @Override
    public void onCompleted() {
        end(Outcome.unknown(
                Fault.of(Step.ANSWER, to.instance(), Reason.UNREACHABLE, "the answer ended without its end")));
    }

    private void end(Outcome outcome) {
        if (ended.compareAndSet(false, true)) {
            listener.onEnd(outcome);
        }
    }

    /** Cancels the call; its listener still hears of one end. */
    void cancel() {
        call.cancel("the caller has gone", null);
    }
}
