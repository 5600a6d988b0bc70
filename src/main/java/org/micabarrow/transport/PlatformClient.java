package org.micabarrow.transport;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.micabarrow.coordination.log.PlatformLog;
import org.micabarrow.coordination.membership.InstanceList;
import org.micabarrow.protocol.PlatformMessages;
import org.micabarrow.settings.Common;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Instance;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** Accesses the platform's log and list of instances over HTTP. */
public final class PlatformClient implements PlatformLog, InstanceList {

    /** The timeout for an append to the log. */
    private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(2);

    /** How much longer than the requested wait a read of the log may take. */
    private static final Duration READ_SLACK = Duration.ofSeconds(2);

    /** The timeout for the list of instances. */
    private static final Duration LIST_TIMEOUT = Duration.ofSeconds(2);

    private static final int OK = 200;

    private final HttpClient client;
    private final Common.Platform platform;

    /**
     * Creates a client.
     *
     * @param client sends the requests
     * @param platform the addresses of the services
     */
    public PlatformClient(HttpClient client, Common.Platform platform) {
        this.client = Objects.requireNonNull(client, "client is null");
        this.platform = Objects.requireNonNull(platform, "platform is null");
    }

    @Override
    public Result<Long> append(String stream, byte[] body) {
        HttpCall call = HttpCall.post(Step.LOG, URI.create(platform.log() + "/streams/" + stream), body);
        return client.read(
                        call, APPEND_TIMEOUT, response -> read(call, response, PlatformMessages.AppendResponse.class))
                .map(PlatformMessages.AppendResponse::offset);
    }

    @Override
    public Result<Page> read(String stream, long from, Duration wait) {
        URI uri = URI.create(
                platform.log() + "/streams/" + stream + "?from=" + Math.max(0, from) + "&wait=" + wait.toMillis());
        HttpCall call = HttpCall.get(Step.LOG, uri);
        return client.read(
                        call, wait.plus(READ_SLACK), response -> read(call, response, PlatformMessages.LogPage.class))
                .map(PlatformMessages.LogPage::page);
    }

    @Override
    public Result<List<Instance>> read() {
        HttpCall call = HttpCall.get(Step.INSTANCES, URI.create(platform.instances() + "/instances"));
        return client.read(call, LIST_TIMEOUT, response -> read(call, response, Instance[].class))
                .map(List::of);
    }

    /**
     * Reads the JSON body of a successful response.
     *
     * @param call the request
     * @param response the response
     * @param type the body's type
     * @param <T> the body's type
     * @return the body, or a fault for any status but 200
     */
    static <T> Result<T> read(HttpCall call, HttpResponse response, Class<T> type) {
        if (response.status() != OK) {
            return Result.failure(Fault.of(
                    call.step(),
                    call.peer(),
                    response.status() == 404 ? Reason.NOT_FOUND : Reason.UNREACHABLE,
                    call.method() + " " + call.pathAndQuery() + " returned status " + response.status()));
        }
        try {
            return Result.success(CanonicalJson.read(response.json(), type));
        } catch (IOException e) {
            return Result.failure(Fault.of(
                    call.step(), call.peer(), Reason.CORRUPT, "the response cannot be read: " + e.getMessage()));
        }
    }
}
