package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.platform.EndpointHeaders;
import org.micabarrow.platform.standin.HostedEndpointStandin.Behaviour;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.serving.ServingHandler.VersionTimes;
import org.micabarrow.transport.HttpClient.HttpAnswer;

/**
 * An entry whose instance was suspended for seconds. Timers do not count that time, and go off as much too late.
 *
 * <p>Read in the users' pages, not seen: an instance may be suspended, and the steady clock does not count that time while the one that
 * counts from the start of the instance does. Whatever a process holds for young was then older by as much: a manifest, what agents
 * told, the bound of a weight version, what is left of a request's time. Here the clock of the entry moves on by itself, as the one that
 * counts does, and no timer has gone off.
 */
class SuspendedInstanceTest extends ServingFixture {

    /** Far longer than the test waits, so that no timer ends a request in the test's place. */
    private static final long PATIENT_MILLIS = 60_000;

    /** How long after the naming what an older version has not begun is taken back. */
    private static final long CANCEL_MILLIS = 30_000;

    @BeforeEach
    void start() {
        platform.manifest(2, "key-a", PATIENT_MILLIS);
        platform.add("model-1", "models", 1);
        idleWith("model-1", 1);
        platform.next(Behaviour.HANG);
    }

    private void serve() throws IOException {
        VersionTimes times = new VersionTimes(NEVER_MILLIS, NEVER_MILLIS, CANCEL_MILLIS);
        serve(new EndpointHeaders(), new RetryBudget(0, 0), (endpoint, then) -> then.accept(true), times);
    }

    private CompletableFuture<HttpAnswer> begin() {
        CompletableFuture<HttpAnswer> answer = CompletableFuture.supplyAsync(() -> client.call(
                        HostedSystem.request(clients(), "/stream/x", "attempt-1")
                                .withHeader("Deadline-Ms", String.valueOf(PATIENT_MILLIS)),
                        WITHIN)
                .toOptional()
                .orElseThrow());
        Await.until("the open request", () -> platform.endpoint("model-1").hanging() == 1);
        return answer;
    }

    /** The instance goes on after a time; the entry looks after its requests as after each round of questions. */
    private void suspended(long millis) {
        clockMillis.addAndGet(millis);
        idleWith("model-1", 1);
        worker.getIoThread().execute(handler::lookAfterRequests);
    }

    @Test
    void shouldAnswerAtOnceWhenTimeOfRequestEndedMeanwhile() throws Exception {
        serve();
        CompletableFuture<HttpAnswer> answer = begin();
        suspended(PATIENT_MILLIS + 1);
        assertEquals(504, answer.get(WITHIN.toSeconds(), TimeUnit.SECONDS).status());
        Await.until(
                "the end at the endpoint", () -> platform.endpoint("model-1").hanging() == 0);
    }

    @Test
    void shouldTakeBackAtOnceWhatOlderVersionMayBeginNoMore() throws Exception {
        serve();
        views.want(MODEL, 2);
        CompletableFuture<HttpAnswer> answer = begin();
        suspended(CANCEL_MILLIS + 1);
        Await.until(
                "the end at the endpoint", () -> platform.endpoint("model-1").hanging() == 0);
        assertEquals(502, answer.get(WITHIN.toSeconds(), TimeUnit.SECONDS).status());
    }
}
