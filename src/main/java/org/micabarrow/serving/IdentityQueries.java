package org.micabarrow.serving;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.liveness.IdentityQuery;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.state.Fault;
import org.micabarrow.transport.BodyEnd;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** Sends identity queries to endpoints, each on a connection of its own. Used by the traffic thread. */
final class IdentityQueries implements IdentityQuery {

    /** The timeout for a reply in milliseconds: as for a connection, since an endpoint replies without running anything. */
    private static final long TIMEOUT_MILLIS = PreSendCheck.CONNECT_TIMEOUT_MILLIS;

    /** The longest body that is read, in bytes: several times as long as any report. */
    private static final int MAX_BODY_BYTES = 64 * 1024;

    private final HttpClient client;
    private final EndpointProtocol protocol;
    private final XnioIoThread thread;
    private final Optional<String> healthPath;

    /**
     * Creates a sender.
     *
     * @param client sends the queries, on the traffic thread
     * @param protocol encodes them
     * @param thread the traffic thread
     * @param healthPath the health path of the endpoints' service; empty if they run a model or there is none
     */
    IdentityQueries(HttpClient client, EndpointProtocol protocol, XnioIoThread thread, Optional<String> healthPath) {
        this.client = client;
        this.protocol = protocol;
        this.thread = thread;
        this.healthPath = healthPath;
    }

    @Override
    public void send(EndpointRegistration endpoint, Consumer<Reply> callback) {
        new PendingQuery(callback).send(protocol.encodeIdentityQuery(endpoint, healthPath));
    }

    /** A query in progress, which gets one reply. */
    private final class PendingQuery implements HttpClient.Listener {

        private final Consumer<Reply> callback;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private HeaderFields headers = HeaderFields.empty();
        private Optional<XnioExecutor.Key> timer = Optional.empty();
        private Runnable cancel = () -> {};
        private boolean connected;
        private boolean replied;

        private PendingQuery(Consumer<Reply> callback) {
            this.callback = callback;
        }

        private void send(HttpCall call) {
            timer = Optional.of(thread.executeAfter(this::onTimeout, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            cancel = client.send(call, this);
        }

        private void reply(Reply reply) {
            if (!replied) {
                replied = true;
                timer.ifPresent(XnioExecutor.Key::remove);
                callback.accept(reply);
            }
        }

        private void onTimeout() {
            if (!replied) {
                reply(connected ? new Reply.Unanswered() : new Reply.NotConnected("no reply"));
                cancel.run();
            }
        }

        @Override
        public Optional<HttpCall> beforeSend(HttpCall decided) {
            connected = true;
            return replied ? Optional.empty() : Optional.of(decided);
        }

        @Override
        public void onHead(int status, HeaderFields receivedHeaders) {
            headers = receivedHeaders;
        }

        @Override
        public void onData(byte[] data, Runnable requestMore) {
            if (body.size() + data.length > MAX_BODY_BYTES) {
                reply(new Reply.Answered(protocol.decodeIdentity(headers, new byte[0])));
                cancel.run();
                return;
            }
            body.writeBytes(data);
            requestMore.run();
        }

        @Override
        public void onComplete(BodyEnd end) {
            reply(new Reply.Answered(protocol.decodeIdentity(headers, body.toByteArray())));
        }

        @Override
        public void onFailed(Fault fault, boolean sent) {
            reply(connected ? new Reply.Dropped(fault.message()) : new Reply.NotConnected(fault.message()));
        }
    }
}
