package org.micabarrow.transport;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpCaller.HttpAnswer;

/** Collects an answer until it is whole. */
final class WholeAnswer implements HttpCaller.Listener {

    private final CompletableFuture<Result<HttpAnswer>> done;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private Map<String, String> headers = Map.of();

    WholeAnswer(CompletableFuture<Result<HttpAnswer>> done) {
        this.done = done;
    }

    @Override
    public void onHead(int received, Map<String, String> receivedHeaders) {
        status = received;
        headers = receivedHeaders;
    }

    @Override
    public void onData(byte[] data, Runnable more) {
        body.writeBytes(data);
        more.run();
    }

    @Override
    public void onComplete() {
        done.complete(Result.success(new HttpAnswer(status, headers, body.toByteArray())));
    }

    @Override
    public void onFailed(Fault fault, boolean sent) {
        done.complete(Result.failure(fault));
    }
}
