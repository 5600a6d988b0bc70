package org.micabarrow.play;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.micabarrow.Samples;
import org.micabarrow.admission.AdmissionControl;
import org.micabarrow.admission.AdmissionControl.Decision;
import org.micabarrow.admission.FirstAttemptEstimator;
import org.micabarrow.admission.SlotAllotment;
import org.micabarrow.admission.WaitQueue;
import org.micabarrow.routing.EndpointCondition;
import org.micabarrow.routing.EndpointLoad;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.EndpointSelection;
import org.micabarrow.routing.EndpointSelector;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.routing.Route;
import org.micabarrow.routing.RoutingRequest;

/**
 * Plays a load on some entries before some emulated engines, with the decisions that entries and agents make in earnest, and
 * tells what callers get. Seeded, without a network, a minute of it in about a second.
 */
final class LoadPlay {

    /** How long callers wait in all, in the middle and in milliseconds. */
    private static final double BUDGET_MILLIS = 6_000;

    /** The way from an entry to an engine's agent, and back, in milliseconds: once over to another region. */
    private static final double WAY_MILLIS = 3;

    /** The most prompt tokens and answer tokens that a request has. */
    private static final int MOST_TOKENS = 4_000;

    private static final Route ROUTE = Samples.resumableStreams((long) BUDGET_MILLIS);

    private final Events events = new Events();
    private final Random random;
    private final LoadSetting setting;
    private final List<Engine> engines = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final Tally tally = new Tally();

    private LoadPlay(LoadSetting setting) {
        this.setting = setting;
        this.random = new Random(setting.seed());
        for (int i = 0; i < setting.engines(); i++) {
            engines.add(new Engine("e" + i));
        }
        setting.entryShares().forEach(share -> entries.add(new Entry("entry-" + entries.size())));
    }

    static Tally play(LoadSetting setting, double seconds) {
        LoadPlay play = new LoadPlay(setting);
        play.engines.forEach(Engine::look);
        play.engines.forEach(engine -> engine.uneven.begin(play.engines.indexOf(engine)));
        setting.slow().ifPresent(play::slow);
        play.entries.forEach(Entry::askAll);
        play.arrive();
        play.events.playUntil(seconds * 1_000);
        play.engines.forEach(engine -> play.tally.preempted += engine.emulator.preempted());
        return play.tally;
    }

    private void slow(LoadSetting.Slow slow) {
        int count = (int) Math.round(engines.size() * slow.part());
        events.after(
                slow.fromMillis(), () -> engines.subList(0, count).forEach(one -> one.emulator.slowness(slow.times())));
        events.after(slow.toMillis(), () -> engines.subList(0, count).forEach(one -> one.emulator.slowness(1)));
    }

    // -- callers

    private void arrive() {
        events.after(-Math.log(1 - random.nextDouble()) * 1_000 / setting.perSecond(), this::arrive);
        Entry entry = entryFor(random.nextDouble());
        tally.asked(events.now());
        tally.askedAt.merge(entry.name, 1, Integer::sum);
        entry.take(new Caller(entry));
    }

    private Entry entryFor(double draw) {
        double left = draw;
        for (int i = 0; i < entries.size(); i++) {
            left -= setting.entryShares().get(i);
            if (left < 0) {
                return entries.get(i);
            }
        }
        return entries.getLast();
    }

    /** A caller, which comes back once if it is refused. */
    private final class Caller {

        private final Entry home;
        private final double firstTry = events.now();
        private final double budget = BUDGET_MILLIS * (1 + setting.patience().spread() * drawn(-1, 1));
        private final int kind = random.nextInt(3);
        private final long objective = kind == 2 ? 300 : 400;
        private final int promptTokens = tokens(kind == 0 ? 1_290 : kind == 1 ? 787 : 607, 1.0);
        private final int answerTokens =
                tokens(kind == 2 ? 70 : 144, setting.uneven().answerSpread());
        private boolean refused;

        private Caller(Entry home) {
            this.home = home;
        }

        private int tokens(double mean, double spread) {
            double drawn = mean * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
            return (int) Math.clamp(drawn, 6, MOST_TOKENS);
        }

        /** Draws nothing where nothing differs, so that a play without a spread is the same as ever. */
        private double drawn(double least, double most) {
            return setting.patience().spread() == 0 ? 0 : random.nextDouble(least, most);
        }

        private long millisGiven() {
            return Math.round(budget - (events.now() - firstTry));
        }

        private void refused() {
            if (refused) {
                tally.refusedForGood++;
                return;
            }
            refused = true;
            tally.refusedOnce++;
            events.after(comeBackMillis(), this::comeBack);
        }

        private long comeBackMillis() {
            return Math.round(millisGiven() * setting.retryAfterPart());
        }

        private void comeBack() {
            Entry entry = setting.patience().anywhere() ? entryFor(random.nextDouble()) : home;
            entry.take(this);
        }

        private void began() {
            if (events.now() - firstTry <= objective) {
                tally.inTime(firstTry);
                tally.inTimeAt.merge(home.name, 1, Integer::sum);
            } else {
                tally.late++;
                tally.lateAtFirstTry += refused ? 0 : 1;
            }
        }
    }

    // -- engines, each with its agent

    private final class Engine {

        private final EngineEmulator emulator =
                new EngineEmulator(events, setting.model(), setting.uneven().kvTokens());
        private final SlotAllotment shares = new SlotAllotment(new Random(random.nextLong()));
        private final UnevenEngine uneven = new UnevenEngine(events, emulator, setting, engines.size());
        private Optional<EndpointCondition> condition = Optional.empty();
        private final EndpointRegistration listed;
        private final Map<String, Integer> said = new HashMap<>();
        private int reported;

        private Engine(String id) {
            this.listed = EndpointRegistration.of(
                    id,
                    "s",
                    "10.0.0.1:80",
                    "hall",
                    setting.model().slots(),
                    false,
                    Map.of("m", 1L),
                    setting.model().layers());
        }

        private void look() {
            reported = emulator.requests();
            condition = uneven.condition();
            events.after(setting.lookMillis(), this::look);
        }

        private LoadReport asked(Entry entry, int ownPromptTokens, int unmet) {
            said.put(entry.name, ownPromptTokens);
            int others = said.entrySet().stream()
                    .filter(one -> !one.getKey().equals(entry.name))
                    .mapToInt(Map.Entry::getValue)
                    .sum();
            int free = SlotAllotment.allottable(setting.model().slots(), reported);
            int places = setting.dealt()
                    ? shares.allot(entry.name, unmet, free, events.nowMillis())
                    : LoadReport.UNLIMITED_SLOTS;
            return UnevenEngine.with(new LoadReport(reported, others, false, 1, places), condition);
        }
    }

    // -- entries

    private final class Entry {

        private final String name;
        private final EndpointSelector choice = new EndpointSelector("region", Map.of("hall", "region"));
        private final AdmissionControl admission = new AdmissionControl(choice);
        private final WaitQueue line = new WaitQueue();
        private final FirstAttemptEstimator firstTries = new FirstAttemptEstimator();
        private final List<EndpointRegistration> candidates =
                engines.stream().map(engine -> engine.listed).toList();

        private Entry(String name) {
            this.name = name;
        }

        private void askAll() {
            engines.forEach(engine -> {
                int own = choice.load(engine.listed.id()).ownPendingPromptTokens();
                int unmet = choice.unmetDemand().recent(events.nowMillis());
                events.after(WAY_MILLIS, () -> {
                    LoadReport told = engine.asked(this, own, unmet);
                    events.after(WAY_MILLIS, () -> {
                        choice.load(engine.listed.id()).reported(told, 2 * (long) WAY_MILLIS, events.nowMillis());
                        line.dispatch();
                    });
                });
            });
            line.expire(events.nowMillis());
            events.after(setting.askMillis() * (0.9 + 0.2 * random.nextDouble()), this::askAll);
        }

        private void take(Caller caller) {
            new Run(this, caller, firstTries.millisSinceFirstAttempt("r", caller.millisGiven(), events.nowMillis()))
                    .next();
        }
    }

    /** A request at an entry. */
    private final class Run implements WaitQueue.Waiter {

        private final Entry entry;
        private final Caller caller;
        private final long firstTryMillis;

        private Run(Entry entry, Caller caller, long sinceFirstTry) {
            this.entry = entry;
            this.caller = caller;
            this.firstTryMillis = events.nowMillis() - sinceFirstTry;
        }

        private long millisToObjective() {
            return caller.objective - (events.nowMillis() - firstTryMillis);
        }

        private Decision decide() {
            RoutingRequest wanted = new RoutingRequest(
                    caller.promptTokens,
                    caller.objective,
                    millisToObjective(),
                    caller.millisGiven(),
                    Optional.of(setting.model()),
                    0,
                    0,
                    Set.of());
            return entry.admission.decide(entry.candidates, wanted, events.nowMillis());
        }

        private void next() {
            switch (decide()) {
                case Decision.Send(EndpointSelection.Selected chosen) -> send(chosen);
                case Decision.Wait(long millis, int ignored) -> {
                    entry.line.enqueue(1, events.nowMillis() + millis, this);
                    events.after(millis + 1, () -> entry.line.expire(events.nowMillis()));
                }
                case Decision.Full ignored -> expired();
                case Decision.BackingOff ignored -> throw new AssertionError("no engine rests");
                case Decision.RateLimited ignored -> throw new AssertionError("no engine names a limit");
                case Decision.Unable ignored -> throw new AssertionError("every engine can serve");
                case Decision.PoisonRequest ignored -> throw new AssertionError("no engine ends");
            }
        }

        private void send(EndpointSelection.Selected chosen) {
            EndpointRegistration endpoint = chosen.endpoint();
            long sentMillis = events.nowMillis();
            Engine engine = engines.stream()
                    .filter(one -> one.listed.id().equals(endpoint.id()))
                    .findFirst()
                    .orElseThrow();
            EndpointLoad load = entry.choice.load(endpoint.id());
            load.requestSent(caller.promptTokens);
            int rank = millisToObjective() <= 0 ? 9 : 1;
            Runnable began = () -> events.after(WAY_MILLIS, () -> {
                load.promptRead(caller.promptTokens);
                load.speed().firstEvent(chosen.predictedMillis(), events.nowMillis() - sentMillis, events.nowMillis());
                caller.began();
                entry.line.dispatch();
            });
            double[] lastStep = {0};
            Runnable stepped = () -> {
                double tookMillis = lastStep[0] == 0 ? 0 : events.now() - lastStep[0];
                lastStep[0] = events.now();
                events.after(WAY_MILLIS, () -> {
                    if (tookMillis > 0) {
                        load.speed()
                                .stepped(
                                        setting.model().passMillis(load.requests(events.nowMillis())),
                                        Math.round(tookMillis),
                                        events.nowMillis());
                    }
                });
            };
            Runnable ended = () -> events.after(WAY_MILLIS, () -> {
                load.requestEnded();
                entry.line.dispatch();
            });
            events.after(
                    WAY_MILLIS,
                    () -> engine.emulator.take(new EngineEmulator.Work(
                            rank, caller.promptTokens, caller.answerTokens, began, stepped, ended)));
        }

        @Override
        public boolean tryStart() {
            if (decide() instanceof Decision.Wait) {
                return false;
            }
            next();
            return true;
        }

        @Override
        public void expired() {
            entry.choice.unmetDemand().refused(events.nowMillis());
            entry.firstTries.refused(ROUTE, caller.comeBackMillis(), events.nowMillis());
            caller.refused();
        }
    }
}
