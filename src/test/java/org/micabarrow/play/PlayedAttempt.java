package org.micabarrow.play;

import org.micabarrow.admission.AdmissionControl.Decision;
import org.micabarrow.attempts.EarlySwitch;
import org.micabarrow.routing.EndpointLoad;
import org.micabarrow.routing.EndpointSelection;
import org.micabarrow.routing.RequestSize;

/** A request at an emulated engine: what its entry learns from the events, and whether it goes to another engine. */
final class PlayedAttempt {

    /** What an attempt needs of its request. */
    interface Request {

        /** Does what is due at once, or as soon as its entry gets a processor. */
        void whenRunning(Runnable due);

        long objective();

        long millisToObjective();

        Decision decide();

        void began();

        void completed();

        void moveTo(EndpointSelection.Selected other);
    }

    private final Events events;
    private final LoadSetting setting;
    private final Request request;
    private final EndpointSelection.Selected chosen;
    private final EngineEmulator emulator;
    private final EndpointLoad load;
    private final RequestSize size;
    private final long sentMillis;
    private final double engineFactorWhenSent;
    private EngineEmulator.Work work;
    private double lastEvent;
    private boolean begun;
    private boolean over;

    PlayedAttempt(
            Events events,
            LoadSetting setting,
            Request request,
            EndpointSelection.Selected chosen,
            EngineEmulator emulator,
            EndpointLoad load,
            RequestSize size) {
        this.events = events;
        this.setting = setting;
        this.request = request;
        this.chosen = chosen;
        this.emulator = emulator;
        this.load = load;
        this.size = size;
        this.sentMillis = events.nowMillis();
        this.engineFactorWhenSent = load.speed().engineFactor(sentMillis);
        load.silence().sent(sentMillis);
    }

    void begin(int rank, int answerTokens) {
        work = new EngineEmulator.Work(
                rank, size.promptTokens(), answerTokens, this::began, this::stepped, this::ended);
        events.after(setting.delays().wayMillis(), () -> emulator.take(work));
        events.after(setting.askMillis(), this::look);
    }

    private void began() {
        lastEvent = events.now();
        events.after(
                setting.delays().wayMillis(),
                () -> request.whenRunning(() -> {
                    if (over) {
                        return;
                    }
                    begun = true;
                    load.promptRead(size.promptTokens());
                    long now = events.nowMillis();
                    load.speed().firstEvent(chosen.predictedMillis(), now - sentMillis, now);
                    load.silence().begun(now);
                    load.silence().awaits(now);
                    request.began();
                }));
    }

    private void stepped() {
        long tookMillis = Math.round(events.now() - lastEvent);
        lastEvent = events.now();
        events.after(
                setting.delays().wayMillis(),
                () -> request.whenRunning(() -> {
                    double usualMillis = setting.model().passMillis(load.requests(events.nowMillis()));
                    load.speed().stepped(usualMillis, tookMillis, events.nowMillis());
                    load.silence().arrived(tookMillis, events.nowMillis());
                    load.silence().awaits(events.nowMillis());
                }));
    }

    private void ended() {
        events.after(
                setting.delays().wayMillis(),
                () -> request.whenRunning(() -> {
                    if (!over) {
                        over = true;
                        load.silence().ended();
                        load.requestEnded();
                        load.memory().ended(size);
                        request.completed();
                    }
                }));
    }

    /** Goes to another engine if the first event would be in time there and not here. */
    private void look() {
        if (begun || over) {
            return;
        }
        EarlySwitch.Waiting waiting = new EarlySwitch.Waiting(
                events.nowMillis() - sentMillis,
                chosen.predictedMillis()
                        * Math.max(1, load.speed().engineFactor(events.nowMillis()) / engineFactorWhenSent),
                request.millisToObjective(),
                load.silence().mute(request.objective(), events.nowMillis()));
        if (EarlySwitch.due(LoadPlay.ROUTE, waiting)
                && request.decide() instanceof Decision.Send(EndpointSelection.Selected other)
                && EarlySwitch.inTimeElsewhere(waiting, other.predictedMillis())) {
            over = true;
            load.silence().withdrawn();
            load.promptRead(size.promptTokens());
            load.requestEnded();
            load.memory().ended(size);
            events.after(setting.delays().wayMillis(), () -> emulator.cancel(work));
            request.moveTo(other);
        } else {
            events.after(setting.askMillis(), this::look);
        }
    }
}
