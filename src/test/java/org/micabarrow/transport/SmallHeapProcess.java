package org.micabarrow.transport;

import io.undertow.server.HttpHandler;
import io.undertow.util.Headers;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.xnio.XnioWorker;

/** A process with a small heap that sends requests to servers, some of which answer without an end, or serves clients. */
final class SmallHeapProcess {

    /** How many requests are in progress at each server whose answers have no end. */
    private static final int HELD_PER_SERVER = 16;

    /** Sound requests, one after the other. */
    private static final int SOUND_REQUESTS = 200;

    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private SmallHeapProcess() {}

    /**
     * Runs until all sound requests are answered, or serves until its input ends.
     *
     * @param arguments "calls", the sound server's address and those of the others; or an address after "serves", for a listener
     *     on the worker, or after "listens", for one on threads of its own
     * @throws IOException if it cannot serve
     */
    public static void main(String[] arguments) throws IOException {
        XnioWorker worker = HttpClient.worker("traffic", 1);
        HttpHandler empty = exchange -> exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, 0);
        switch (arguments[0]) {
            case "serves" -> HttpListener.startOnWorker(arguments[1], HttpListener.Limits.defaults(), worker, empty);
            case "listens" ->
                HttpListener.start(arguments[1], HttpListener.Limits.defaults(), 1, Optional.empty(), empty);
            default -> call(List.of(arguments).subList(1, arguments.length), worker);
        }
        awaitEndOfInput();
    }

    private static void awaitEndOfInput() throws IOException {
        System.out.println("serves");
        while (System.in.read() >= 0) {
            Thread.onSpinWait();
        }
        System.exit(0);
    }

    private static void call(List<String> addresses, XnioWorker worker) {
        HttpClient client = HttpClient.onWorker(worker, HELD_PER_SERVER);
        Queue<HttpCall> toSend = new ConcurrentLinkedQueue<>();
        addresses.stream()
                .skip(1)
                .flatMap(address -> Collections.nCopies(HELD_PER_SERVER, get(address)).stream())
                .forEach(toSend::add);
        int answered = 0;
        for (int i = 0; i < SOUND_REQUESTS; i++) {
            for (int due = toSend.size(); due > 0; due--) {
                send(client, toSend.remove(), toSend);
            }
            switch (client.call(get(addresses.getFirst()), TIMEOUT)) {
                case Result.Success<?> success -> answered++;
                case Result.Failure<?> failure -> System.out.println(failure);
            }
        }
        System.out.println("answered " + answered + " of " + SOUND_REQUESTS);
        System.exit(0);
    }

    /** Sends a request, which is to be sent again when it has failed. */
    private static void send(HttpClient client, HttpCall call, Queue<HttpCall> toSend) {
        client.send(call, new IgnoringListener() {
            @Override
            public void onFailed(Fault fault, boolean sent) {
                toSend.add(call);
            }
        });
    }

    private static HttpCall get(String address) {
        return HttpCall.get(Fault.Step.RUN, URI.create("http://" + address + "/"));
    }
}
