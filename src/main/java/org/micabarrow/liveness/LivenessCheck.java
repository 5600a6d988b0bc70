package org.micabarrow.liveness;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.micabarrow.crashes.PortProbe;
import org.micabarrow.liveness.IdentityQuery.Reply;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.views.StoredRecord;

/**
 * Finds out whether an endpoint's start still runs. Only what arrives on a connection after the check has begun counts:
 * bytes that were sent before may arrive after their sender has died, and a port may accept a connection in the moment
 * in which its process ends. Used by the traffic thread.
 */
public final class LivenessCheck {

    /** A lost packet or a connection that the endpoint was about to close costs one query. */
    private static final int MAX_QUERIES = 2;

    private final IdentityQuery query;
    private final PortProbe probe;
    private final EndpointRegistration endpoint;
    private final Supplier<Optional<String>> replaced;
    private final Consumer<Liveness> callback;
    private int queries;

    private LivenessCheck(
            IdentityQuery query,
            PortProbe probe,
            EndpointRegistration endpoint,
            Supplier<Optional<String>> replaced,
            Consumer<Liveness> callback) {
        this.query = query;
        this.probe = probe;
        this.endpoint = endpoint;
        this.replaced = replaced;
        this.callback = callback;
    }

    /**
     * Begins a check.
     *
     * @param query asks the endpoint which one it is
     * @param probe checks whether anything listens on the endpoint's port
     * @param endpoint the endpoint with the start in question
     * @param replaced what suggests that another start listens there, if anything does; asked after the endpoint's reply,
     *     and only unless the reply tells its start
     * @param callback called once with the result, on the traffic thread
     */
    public static void begin(
            IdentityQuery query,
            PortProbe probe,
            EndpointRegistration endpoint,
            Supplier<Optional<String>> replaced,
            Consumer<Liveness> callback) {
        Objects.requireNonNull(query, "query is null");
        Objects.requireNonNull(probe, "probe is null");
        Objects.requireNonNull(endpoint, "endpoint is null");
        Objects.requireNonNull(replaced, "replaced is null");
        Objects.requireNonNull(callback, "callback is null");
        new LivenessCheck(query, probe, endpoint, replaced, callback).send();
    }

    private void send() {
        queries++;
        query.send(endpoint, this::onReply);
    }

    private void onReply(Reply reply) {
        switch (reply) {
            case Reply.Answered(EndpointIdentity identity) -> callback.accept(compared(identity));
            case Reply.Unanswered ignored ->
                // The system closes the port of a process that ends, and with it the connections that wait there.
                callback.accept(runningUnlessReplaced("a process listens there and has not answered yet"));
            case Reply.Dropped(String reason) ->
                probePort(() -> runningUnlessReplaced("a process listens there and closes connections: " + reason));
            case Reply.NotConnected(String reason) ->
                probePort(() -> new Liveness.Unconfirmed("its instance was not reached: " + reason));
        }
    }

    private Liveness compared(EndpointIdentity identity) {
        if (identity.contradicts(endpoint.start())) {
            return new Liveness.Ended("another start answers there: " + loggableId(identity));
        }
        return identity.confirms(endpoint.start())
                ? new Liveness.Running("it answers, and states its start")
                : runningUnlessReplaced("it answers, and states " + loggableId(identity) + " without its start");
    }

    private static String loggableId(EndpointIdentity identity) {
        return identity.id().map(StoredRecord::loggable).orElse("no id");
    }

    private Liveness runningUnlessReplaced(String evidence) {
        return replaced.get().<Liveness>map(Liveness.Ended::new).orElseGet(() -> new Liveness.Running(evidence));
    }

    /** Ends the check if nothing listens on the port. Otherwise asks again, or gives the result that is left. */
    private void probePort(Supplier<Liveness> otherwise) {
        probe.probe(endpoint, refused -> {
            if (refused) {
                callback.accept(new Liveness.Ended("nothing listens on its port"));
            } else if (queries < MAX_QUERIES) {
                send();
            } else {
                callback.accept(otherwise.get());
            }
        });
    }
}
