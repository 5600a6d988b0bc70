package org.micabarrow.transport;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.transport.HttpClient.Listener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One request and its response. The connection returns to the pool once the response has been read completely, unless
 * the response ended with it, and is reset if anything fails before.
 */
final class HttpExchange {

    private final HttpCall call;
    private final Listener listener;
    private final Shared shared;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile HttpConnection connection;
    private volatile boolean sent;
    private volatile boolean cancelled;
    private StreamSourceChannel source;
    private BodyEnd bodyEnd = BodyEnd.CONNECTION;
    private boolean mayRead = true;
    private boolean delivering;
    private Optional<IOException> failure = Optional.empty();

    /**
     * What the exchanges of a client share.
     *
     * @param buffers the pool of read buffers
     * @param connections the pool of idle connections
     * @param sentBytes counts the bytes of request bodies sent
     * @param receivedBytes counts the bytes of response bodies received
     */
    record Shared(ByteBufferPool buffers, ConnectionPool connections, LongAdder sentBytes, LongAdder receivedBytes) {}

    HttpExchange(HttpCall call, Listener listener, Shared shared) {
        this.call = call;
        this.listener = listener;
        this.shared = shared;
    }

    // -- request

    /** Sends the request over a connection. */
    void start(HttpConnection opened) {
        connection = opened;
        if (cancelled) {
            fail(Reason.CANCELLED, "cancelled");
            return;
        }
        opened.client().getIoThread().execute(this::sendRequest);
    }

    private void sendRequest() {
        if (!ended.get()) {
            listener.beforeSend(call).ifPresentOrElse(this::send, this::withhold);
        }
    }

    /** Ends the exchange without sending anything. */
    private void withhold() {
        if (ended.compareAndSet(false, true)) {
            shared.connections().release(call.authority(), connection);
        }
    }

    private void send(HttpCall current) {
        connection.setResetOnClose(true);
        sent = true;
        connection.bytes().begin(this::onRefused);
        if (ended.get()) {
            // Cancelled on another thread meanwhile.
            connection.bytes().end();
        }
        shared.sentBytes().add(current.body().length);
        try {
            submit(toClientRequest(current), current.body());
        } catch (RuntimeException e) {
            // Undertow's client throws if the peer of a reused connection has just reset it.
            fail(Reason.UNREACHABLE, "the request was not sent: " + e);
        }
    }

    private static ClientRequest toClientRequest(HttpCall call) {
        ClientRequest request =
                new ClientRequest().setMethod(new HttpString(call.method())).setPath(call.pathAndQuery());
        HeaderMap headers = request.getRequestHeaders();
        headers.put(Headers.HOST, call.authority());
        HeaderMaps.putAll(headers, call.headers());
        headers.put(Headers.CONTENT_LENGTH, call.body().length);
        return request;
    }

    private void submit(ClientRequest request, byte[] body) {
        connection.client().sendRequest(request, new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                exchange.setResponseListener(responseListener());
                write(exchange.getRequestChannel(), ByteBuffer.wrap(body));
            }

            @Override
            public void failed(IOException e) {
                fail(Reason.UNREACHABLE, "the request was not sent: " + e.getMessage());
            }
        });
    }

    private void write(StreamSinkChannel sink, ByteBuffer body) {
        try {
            while (body.hasRemaining()) {
                if (sink.write(body) == 0) {
                    sink.getWriteSetter().set(channel -> write(sink, body));
                    sink.resumeWrites();
                    return;
                }
            }
            sink.shutdownWrites();
            if (!sink.flush()) {
                sink.getWriteSetter()
                        .set(ChannelListeners.flushingChannelListener(
                                null,
                                (channel, e) -> fail(Reason.UNREACHABLE, "the request broke off: " + e.getMessage())));
                sink.resumeWrites();
            }
        } catch (IOException e) {
            fail(Reason.UNREACHABLE, "the request broke off: " + e.getMessage());
        }
    }

    // -- response

    private ClientCallback<ClientExchange> responseListener() {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                onHead(exchange);
            }

            @Override
            public void failed(IOException e) {
                fail(Reason.UNREACHABLE, "no answer: " + e.getMessage());
            }
        };
    }

    private void onHead(ClientExchange exchange) {
        ClientResponse response = exchange.getResponse();
        bodyEnd = BodyEnd.of(response);
        connection.bytes().headRead(BodyEnd.isChunked(response.getResponseHeaders()));
        if (connection.bytes().refusal().isPresent()) {
            fail(Reason.UNREACHABLE, "the answer is not readable");
            return;
        }
        listener.onHead(response.getResponseCode(), HeaderMaps.fields(response.getResponseHeaders()));
        source = exchange.getResponseChannel();
        source.getReadSetter().set(channel -> read());
        read();
    }

    private void read() {
        try (PooledByteBuffer pooled = shared.buffers().allocate()) {
            while (mayRead && !ended.get()) {
                ByteBuffer part = pooled.getBuffer().clear();
                int count = fill(part);
                if (part.position() > 0) {
                    deliver(copy(part.flip()));
                } else if (count < 0) {
                    complete();
                    return;
                } else {
                    source.resumeReads();
                    return;
                }
            }
            source.suspendReads();
        } catch (IOException e) {
            fail(Reason.UNREACHABLE, "the answer broke off: " + e.getMessage());
        }
    }

    /**
     * Reads until a part is full or nothing more has come, so that small chunks are not delivered one by one. What came before a
     * failure is delivered before it.
     */
    private int fill(ByteBuffer part) throws IOException {
        if (failure.isPresent()) {
            throw failure.get();
        }
        int count = source.read(part);
        try {
            while (count > 0 && part.hasRemaining()) {
                count = source.read(part);
            }
        } catch (IOException e) {
            failure = Optional.of(e);
        }
        return count;
    }

    private byte[] copy(ByteBuffer part) {
        byte[] data = new byte[part.remaining()];
        part.get(data);
        shared.receivedBytes().add(data.length);
        return data;
    }

    /** Delivers a part to the listener. Reading continues when the listener requests more, immediately or later. */
    private void deliver(byte[] data) {
        mayRead = false;
        delivering = true;
        listener.onData(data, this::requestMore);
        delivering = false;
    }

    private void requestMore() {
        if (Thread.currentThread() == source.getIoThread() && delivering) {
            mayRead = true;
        } else {
            source.getIoThread().execute(this::resumeReading);
        }
    }

    private void resumeReading() {
        mayRead = true;
        read();
    }

    private void complete() {
        Optional<String> refusal = connection.bytes().refusal();
        if (refusal.isPresent()) {
            // A connection that was closed meanwhile looks like the end of the body.
            fail(Reason.UNREACHABLE, refusal.get());
            return;
        }
        if (ended.compareAndSet(false, true)) {
            connection.bytes().end();
            connection.setResetOnClose(false);
            if (bodyEnd == BodyEnd.STATED && !connection.bytes().surplus()) {
                shared.connections().release(call.authority(), connection);
            } else {
                IoUtils.safeClose(connection.client());
            }
            listener.onComplete(bodyEnd);
        }
    }

    // -- failures

    /** Ends the exchange without a complete response, unless it has already ended. */
    void fail(Reason reason, String message) {
        if (ended.compareAndSet(false, true)) {
            String why = message;
            if (connection != null) {
                why = connection.bytes().refusal().orElse(message);
                connection.bytes().end();
                connection.reset();
            }
            listener.onFailed(Fault.of(call.step(), call.peer(), reason, why), sent);
        }
    }

    private void onRefused() {
        fail(Reason.UNREACHABLE, "the answer is not read on");
    }

    /** Cancels the exchange, immediately or as soon as its connection is open. */
    void cancel() {
        cancelled = true;
        if (connection != null) {
            fail(Reason.CANCELLED, "cancelled");
        }
    }
}
