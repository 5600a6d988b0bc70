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
import org.micabarrow.transport.HttpClient.HttpAnswer;

/** The platform's log and list of instances, over HTTP. */
public final class PlatformClient implements PlatformLog, InstanceList {

    /** How long the log may take for an append. */
    private static final Duration APPEND_WITHIN = Duration.ofSeconds(2);

    /** How much longer than the wait that was asked for the log may take for a read. */
    private static final Duration READ_SLACK = Duration.ofSeconds(2);

    /** How long the platform may take for the list of instances. */
    private static final Duration LIST_WITHIN = Duration.ofSeconds(2);

    private static final int OK = 200;

    private final HttpClient caller;
    private final Common.Platform platform;

    /**
     * Makes a client.
     *
     * @param caller sends the requests
     * @param platform where the services are
     */
    public PlatformClient(HttpClient caller, Common.Platform platform) {
        this.caller = Objects.requireNonNull(caller, "caller is null");
        this.platform = Objects.requireNonNull(platform, "platform is null");
    }

    @Override
    public Result<Long> append(String stream, byte[] body) {
        HttpCall call = HttpCall.post(Step.LOG, URI.create(platform.log() + "/streams/" + stream), body);
        return caller.call(call, APPEND_WITHIN)
                .flatMap(answer -> read(call, answer, PlatformMessages.Appended.class))
                .map(PlatformMessages.Appended::offset);
    }

    @Override
    public Result<Page> read(String stream, long from, Duration wait) {
        URI uri = URI.create(
                platform.log() + "/streams/" + stream + "?from=" + Math.max(0, from) + "&wait=" + wait.toMillis());
        HttpCall call = HttpCall.get(Step.LOG, uri);
        return caller.call(call, wait.plus(READ_SLACK))
                .flatMap(answer -> read(call, answer, PlatformMessages.LogPage.class))
                .map(PlatformMessages.LogPage::page);
    }

    @Override
    public Result<List<Instance>> read() {
        HttpCall call = HttpCall.get(Step.INSTANCES, URI.create(platform.instances() + "/instances"));
        return caller.call(call, LIST_WITHIN)
                .flatMap(answer -> read(call, answer, Instance[].class))
                .map(List::of);
    }

    /**
     * Reads the JSON body of a good answer.
     *
     * @param call the request
     * @param answer the answer
     * @param type the body's type
     * @param <T> the body's type
     * @return the body, or a fault for any status but 200
     */
    static <T> Result<T> read(HttpCall call, HttpAnswer answer, Class<T> type) {
        if (answer.status() != OK) {
            return Result.failure(Fault.of(
                    call.step(),
                    call.peer(),
                    answer.status() == 404 ? Reason.NOT_FOUND : Reason.UNREACHABLE,
                    call.method() + " " + call.pathAndQuery() + " gave status " + answer.status()));
        }
        try {
            return Result.success(CanonicalJson.read(answer.body(), type));
        } catch (IOException e) {
            return Result.failure(
                    Fault.of(call.step(), call.peer(), Reason.CORRUPT, "the answer cannot be read: " + e.getMessage()));
        }
    }
}
