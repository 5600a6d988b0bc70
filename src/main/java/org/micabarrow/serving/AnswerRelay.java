package org.micabarrow.serving;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.micabarrow.attempts.EventSplitter;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.serving.EndpointProtocol.AnswerHead;

/**
 * Passes one endpoint's answer on to the client: a stream by whole events, anything else held until it is whole or too large
 * to be held.
 */
final class AnswerRelay {

    /** Answers up to this size are held until they are whole, so that one that breaks off can be asked for again. */
    private static final int HELD_BYTES = 256 * 1024;

    private final ServedRequest run;
    private final ClientAnswer answer;
    private final EventSplitter events;
    private final boolean stream;
    private final ByteArrayOutputStream held = new ByteArrayOutputStream();
    private Optional<AnswerHead> head = Optional.empty();
    private boolean passing;

    AnswerRelay(ServedRequest run) {
        this.run = run;
        this.answer = run.answer();
        this.events = run.events();
        this.stream = run.request().route().kind().stream();
    }

    /** Whether a head has come that may be passed on. */
    boolean begun() {
        return head.isPresent();
    }

    /** Takes the head; that of a stream goes on at once, unless the client has one already or the endpoint failed. */
    void begin(AnswerHead read, boolean error) {
        head = Optional.of(read);
        passing = stream && !error;
        if (passing && !answer.begun()) {
            answer.head(read);
        }
    }

    /** Takes a part; {@code more} runs when the next may come. */
    void part(byte[] data, Runnable more) {
        if (!passing) {
            hold(data, more);
            return;
        }
        byte[] whole = stream ? events.whole(data) : data;
        if (whole.length == 0) {
            more.run();
        } else {
            run.eventsPassed();
            answer.part(whole, more, run::clientGone);
        }
    }

    private void hold(byte[] data, Runnable more) {
        held.writeBytes(data);
        if (held.size() <= HELD_BYTES) {
            more.run();
            return;
        }
        passing = true;
        answer.head(head.orElseThrow());
        byte[] sofar = held.toByteArray();
        held.reset();
        answer.part(sofar, more, run::clientGone);
    }

    /** Ends the answer, which is here whole. */
    void complete(EndpointRegistration endpoint) {
        if (!passing) {
            finish(endpoint);
            answer.whole(head.orElseThrow(), held.toByteArray());
            return;
        }
        byte[] rest = events.remainder();
        finish(endpoint);
        if (rest.length == 0) {
            answer.end();
        } else {
            answer.part(rest, answer::end, answer::gone);
        }
    }

    private void finish(EndpointRegistration endpoint) {
        run.answered("endpoint=" + endpoint.id() + " hall=" + endpoint.dataHall() + " status="
                + head.map(AnswerHead::status).orElse(0) + " weights="
                + head.flatMap(AnswerHead::weightVersion).map(String::valueOf).orElse("-"));
    }
}
