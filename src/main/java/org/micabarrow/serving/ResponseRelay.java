package org.micabarrow.serving;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.micabarrow.attempts.EventSplitter;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.serving.EndpointProtocol.ResponseHead;
import org.micabarrow.transport.BodyEnd;

/**
 * Forwards an endpoint's response to the client. A stream of events is forwarded event by event; any other response is
 * buffered until it is complete or exceeds the buffer limit.
 */
final class ResponseRelay {

    /**
     * Responses up to this size are buffered until complete, so that the request can be retried if the response breaks
     * off.
     */
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;

    private final ServedRequest served;
    private final ClientResponse response;
    private final EventSplitter events;
    private final int eventsBefore;
    private ByteArrayOutputStream buffered = new ByteArrayOutputStream();
    private Optional<ResponseHead> head = Optional.empty();
    private boolean eventStream;
    private boolean forwarding;
    private long bytes;

    ResponseRelay(ServedRequest served) {
        this.served = served;
        this.response = served.response();
        this.events = served.events();
        this.eventsBefore = events.count();
    }

    /** Whether a response head that may be forwarded has arrived. */
    boolean hasHead() {
        return head.isPresent();
    }

    /** Whether the response reports an error of the endpoint. */
    boolean reportsError() {
        return head.filter(known -> HeadClassification.isError(known.status())).isPresent();
    }

    /**
     * Accepts the response head. The head of a stream of events is forwarded at once, unless the client already has one
     * or the endpoint reported an error.
     */
    void start(ResponseHead responseHead, boolean error) {
        head = Optional.of(responseHead);
        eventStream = served.request().route().kind().stream() && !error && responseHead.isEventStream();
        forwarding = eventStream;
        if (forwarding && !response.started()) {
            response.start(responseHead);
        }
    }

    /** Forwards or buffers a chunk of the body; {@code more} runs when the next chunk may be read. */
    void forward(byte[] data, Runnable more) {
        bytes += data.length;
        if (!forwarding) {
            buffer(data, more);
            return;
        }
        byte[] wholeEvents = eventStream ? events.append(data) : data;
        if (wholeEvents.length == 0) {
            more.run();
        } else {
            served.onEventsForwarded();
            response.write(wholeEvents, more);
        }
    }

    private void buffer(byte[] data, Runnable more) {
        buffered.writeBytes(data);
        if (buffered.size() <= MAX_BUFFERED_BYTES) {
            response.buffering(buffered.size());
            more.run();
            return;
        }
        forwarding = true;
        response.start(head.orElseThrow());
        byte[] bufferedSoFar = takeBuffered();
        response.buffering(0);
        response.write(bufferedSoFar, more);
    }

    /** Takes what is buffered, and frees the buffer: it may be twice as large, and the client may take long to read. */
    private byte[] takeBuffered() {
        byte[] taken = buffered.toByteArray();
        buffered = new ByteArrayOutputStream(0);
        return taken;
    }

    /** Why a body that ended without an error of the connection is incomplete all the same; empty if it may be whole. */
    Optional<String> truncation(BodyEnd end) {
        return eventStream && events.isCut(end == BodyEnd.STATED, eventsBefore)
                ? Optional.of("the stream ended by " + end + " after " + (events.count() - eventsBefore)
                        + " events and " + events.remainder().length + " bytes of the next")
                : Optional.empty();
    }

    /** How the body ended and how much of it has arrived, for the log. */
    String describe(BodyEnd end) {
        return "end=" + end + " events=" + (events.count() - eventsBefore) + " bytes=" + bytes;
    }

    /** Finishes the response after its last byte has arrived. */
    void complete(EndpointRegistration endpoint, BodyEnd end) {
        if (!forwarding) {
            concludeRequest(endpoint, end);
            response.sendWhole(head.orElseThrow(), takeBuffered());
            return;
        }
        byte[] remainder = events.remainder();
        concludeRequest(endpoint, end);
        response.end(remainder);
    }

    private void concludeRequest(EndpointRegistration endpoint, BodyEnd end) {
        served.onResponseComplete("endpoint=" + endpoint.id() + " hall=" + endpoint.dataHall() + " status="
                + head.map(ResponseHead::status).orElse(0) + " weights="
                + head.flatMap(ResponseHead::weightVersion).map(String::valueOf).orElse("-") + " " + describe(end));
    }
}
