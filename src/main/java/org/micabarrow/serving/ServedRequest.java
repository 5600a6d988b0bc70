package org.micabarrow.serving;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.micabarrow.admission.AdmissionControl.Decision;
import org.micabarrow.admission.SlotWait;
import org.micabarrow.attempts.AttemptOutcome;
import org.micabarrow.attempts.AttemptPolicy;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.attempts.EventSplitter;
import org.micabarrow.attempts.RequestTimes;
import org.micabarrow.attempts.AttemptHistory;
import org.micabarrow.crashes.LazyDigest;
import org.micabarrow.crashes.SuspicionLevel;
import org.micabarrow.routing.EndpointSelection;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.RequestKind;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** One request from its arrival to its answer. All of it runs on the one thread for traffic. */
final class ServedRequest implements OpenRequests.Open, SlotWait.Request {

    private final ServingParts parts;
    private final ClientRequest request;
    private final ClientAnswer answer;
    private final XnioIoThread thread;
    private final RequestTimes times;
    private final AttemptHistory sendings = new AttemptHistory();
    private final SlotWait room;
    private final EventSplitter events = new EventSplitter();
    private final EventTimes eventTimes = new EventTimes();
    private final RequestLog log;
    private final LazyDigest digest;
    private boolean finished;
    private Optional<Attempt> current = Optional.empty();
    private Optional<XnioExecutor.Key> deadline = Optional.empty();

    ServedRequest(ServingParts parts, ClientRequest request, ClientAnswer answer, XnioIoThread thread) {
        this.parts = parts;
        this.request = request;
        this.answer = answer;
        this.thread = thread;
        this.digest = LazyDigest.of(request);
        long now = parts.nowMillis();
        long sinceFirstTry =
                parts.firstTries().millisSince(request.route().name(), request.deadlineMillis() - now, now);
        this.times = RequestTimes.of(request, now, sinceFirstTry);
        this.room = new SlotWait(parts.line().on(thread), this);
        this.log = new RequestLog(parts, request, sinceFirstTry, eventTimes, digest);
    }

    void begin() {
        deadline = Optional.of(thread.executeAfter(() -> end("time is up"), times.heldMillis(), TimeUnit.MILLISECONDS));
        parts.open().add(this);
        next("first");
    }

    // -- for attempts

    ServingParts parts() {
        return parts;
    }

    ClientRequest request() {
        return request;
    }

    ClientAnswer answer() {
        return answer;
    }

    EventSplitter events() {
        return events;
    }

    RequestLog log() {
        return log;
    }

    XnioIoThread thread() {
        return thread;
    }

    /** What is alike in the request whenever it comes; worked out only if somebody asks. */
    LazyDigest digest() {
        return digest;
    }

    long millisTaken() {
        return times.takenMillis(parts.nowMillis());
    }

    long millisLeft() {
        return times.leftMillis(parts.nowMillis());
    }

    private long millisToObjective() {
        return times.toObjectiveMillis(parts.nowMillis(), answer.begun());
    }

    /** Whether an answer can no longer be in time. */
    boolean late() {
        return millisToObjective() <= 0;
    }

    // -- deciding

    @Override
    public Decision decide() {
        return parts.decide(request, digest, millisToObjective(), sendings.tried());
    }

    private void next(String why) {
        decided(decide(), why);
    }

    @Override
    public void decided(Decision decision, String why) {
        switch (decision) {
            case Decision.Send(EndpointSelection.Send chosen) -> sendOrAsk(chosen, why);
            case Decision.Wait wait when !answer.begun() -> waitForRoom(wait, why);
            case Decision.Wait(long ignored, int endpoints) -> noRoom(endpoints);
            case Decision.Full(int endpoints) -> noRoom(endpoints);
            case Decision.Unable ignored -> cannotSend("no endpoint can serve");
            case Decision.Resting(int endpoints, long ignored) ->
                cannotSend("all " + endpoints + " endpoints have asked for rest");
            case Decision.Limited(int endpoints, OptionalLong millis) -> overLimit(endpoints, millis);
            case Decision.Culprit(int crashes, long forMillis) -> refuse(crashes, forMillis);
        }
    }

    /**
     * Answers a request that ends the endpoints that run it. If no endpoint had it this time it has truly not run, and the client is
     * told for how long that stays so; a status that says that something is wrong with the request would be a guess.
     */
    private void refuse(int crashes, long forMillis) {
        parts.metrics().culprits.inc();
        String why = "it has ended " + crashes + " endpoints, digest " + digest.get();
        conclude(withoutAnswer(), why, () -> forMillis);
    }

    private void noRoom(int endpoints) {
        parts.turnedAway(request);
        String room = late() ? "room to spare for a request whose objective is over" : "room within its objective";
        cannotSend("none of " + endpoints + " endpoints has " + room);
    }

    /** Another entry may have its turn sooner, so that the client is never told to come back later than others are. */
    private void overLimit(int endpoints, OptionalLong millis) {
        parts.metrics().overLimit.inc();
        String why = "all " + endpoints + " endpoints have been sent what they take a second";
        long usual = parts.comeBackMillis(request);
        conclude(withoutAnswer(), why, () -> Math.clamp(millis.orElse(usual), 1, Math.max(1, usual)));
    }

    private void waitForRoom(Decision.Wait wait, String why) {
        log.waits(wait, millisToObjective());
        room.begin(request.priority(), parts.nowMillis() + wait.millis(), why);
    }

    @Override
    public void outOfTime() {
        next("no endpoint had room in time");
    }

    // -- sending

    /** Sends at once, or once the endpoint's agent has answered. */
    private void sendOrAsk(EndpointSelection.Send chosen, String why) {
        if (!parts.mustAsk(request, chosen.endpoint())) {
            send(chosen, why);
        } else if (sendings.ask()) {
            parts.ask(request, chosen.endpoint(), maySend -> agentAnswered(chosen, why, maySend));
        } else {
            cannotSend("no agent answers beside an endpoint that could serve");
        }
    }

    private void agentAnswered(EndpointSelection.Send chosen, String why, boolean maySend) {
        if (finished) {
            return;
        }
        if (maySend && parts.withinLimit(chosen.endpoint())) {
            send(chosen, why);
        } else {
            log.notSent(chosen.endpoint());
            next(why);
        }
    }

    private void cannotSend(String why) {
        conclude(withoutAnswer(), why);
    }

    private Ending withoutAnswer() {
        return Ending.withoutAnswer(answer.begun(), sendings.mayHaveRun());
    }

    private void send(EndpointSelection.Send chosen, String why) {
        EndpointRegistration endpoint = chosen.endpoint();
        sendings.sent(endpoint.id());
        log.sent(chosen, why, sendings.count(), millisToObjective(), millisLeft());
        Attempt attempt = new Attempt(this, chosen);
        current = Optional.of(attempt);
        attempt.begin();
    }

    /**
     * Decides anew after a decision was outdated before any byte of the request left. What has not left is no repeat, so it
     * takes nothing of the budget for repeats, and what may run only once goes on too.
     */
    void withheld(EndpointRegistration endpoint, LastLook.Verdict.Outdated outdated) {
        sendings.withheld();
        if (millisLeft() < AttemptPolicy.LEAST_MILLIS_LEFT) {
            cannotSend(outdated.why());
        } else if (outdated.able()) {
            sendings.cameLateAt(endpoint.id());
            // Nothing was asked during a standstill, so that every agent seems silent until one has answered again.
            parts.hear(request, endpoint, () -> decideAgain(outdated.why()));
        } else {
            next(outdated.why());
        }
    }

    /** Whether a connection came too late once already. */
    boolean cameLate() {
        return sendings.cameLate();
    }

    private void decideAgain(String why) {
        if (!finished) {
            next(why);
        }
    }

    /** Counts a repeat, once its first byte is about to leave. */
    void leaves() {
        if (sendings.count() > 1) {
            parts.metrics().repeats.inc();
        }
    }

    /** Decides what follows when an attempt has ended without an answer: another one, or the end of the request. */
    void again(AttemptOutcome end, String why) {
        ended(end);
        goOn(why);
    }

    /** An attempt has ended without an answer; what follows is decided by {@link #goOn}. */
    void ended(AttemptOutcome end) {
        sendings.ended(end);
    }

    /** Sends the request again or ends it, unless it has ended meanwhile. */
    void goOn(String why) {
        if (finished) {
            return;
        }
        boolean cut = answer.begun() && !mayGoOn();
        if (!cut && AttemptPolicy.again(request.route(), sendings.progress(millisLeft()), parts.budget()::tryRetry)) {
            next(why);
        } else {
            cannotSend(why);
        }
    }

    /** Sends to another endpoint after {@link #mayTakeAnother} has allowed it; the one before may have run the request. */
    void moveOn(AttemptOutcome end, String why) {
        sendings.ended(end);
        next(why);
    }

    /** Whether another endpoint may run the request although the present one has, and is there; takes one repeat if so. */
    boolean mayTakeAnother() {
        AttemptPolicy.Progress progress = sendings.progressIfRun(millisLeft());
        return request.route().kind().repeatable()
                && decide() instanceof Decision.Send
                && AttemptPolicy.again(request.route(), progress, parts.budget()::tryRetry);
    }

    /** Whether an answer that has begun can go on at another endpoint. */
    boolean mayGoOn() {
        return request.route().kind() == RequestKind.RESUMABLE_STREAM
                && (!eventTimes.any() || events.lastId().isPresent());
    }

    /** Remembers that the client has got events. */
    void eventsPassed() {
        eventTimes.passed(millisTaken());
    }

    /** Looks after the request by the clock: its timers do not count the time for which the instance was suspended. */
    @Override
    public void lookAfter() {
        if (millisLeft() <= 0) {
            end("time is up");
        } else if (!answer.begun() && standing() instanceof SuspicionLevel.Refused(int crashes, long forMillis)) {
            current.ifPresent(this::takeBack);
            refuse(crashes, forMillis);
        } else {
            current.ifPresent(Attempt::lookAfter);
        }
    }

    private SuspicionLevel standing() {
        return parts.suspects().standing(digest, parts.nowMillis());
    }

    /** Takes the request back from where it may be about to end another endpoint. */
    private void takeBack(Attempt attempt) {
        sendings.ended(attempt.mayRun() ? AttemptOutcome.UNKNOWN : AttemptOutcome.NOT_RUN);
        attempt.abandon("it ends endpoints");
    }

    // -- endings

    @Override
    public void end(String why) {
        if (finished) {
            return;
        }
        boolean mayRun =
                sendings.mayHaveRun() || current.filter(Attempt::mayRun).isPresent();
        current.ifPresent(attempt -> attempt.abandon(why));
        conclude(Ending.outOfTime(answer.begun(), mayRun), why);
    }

    void clientGone() {
        if (finished) {
            return;
        }
        current.ifPresent(attempt -> attempt.abandon("the client left"));
        conclude(Ending.CLIENT_GONE, "the client closed its connection");
    }

    void answered(String what) {
        conclude(Ending.ANSWERED, what);
    }

    private void conclude(Ending ending, String why) {
        conclude(ending, why, () -> parts.comeBackMillis(request));
    }

    private void conclude(Ending ending, String why, LongSupplier comeBackMillis) {
        finished = true;
        parts.open().remove(this);
        current = Optional.empty();
        room.end();
        deadline.ifPresent(XnioExecutor.Key::remove);
        parts.metrics().ended(ending);
        log.finished(ending.outcome(), why, sendings.count(), millisTaken());
        switch (ending) {
            case NOT_RUN -> answer.own(ending.status(), why, parts.refused(request, comeBackMillis.getAsLong()));
            case UNKNOWN, TIMED_OUT -> answer.own(ending.status(), why, 0);
            case BROKEN -> answer.breakOff();
            case CLIENT_GONE -> answer.gone();
            case ANSWERED -> {}
        }
    }
}
