package org.micabarrow.play;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.micabarrow.admission.AdmissionControl;
import org.micabarrow.admission.AdmissionControl.Decision;
import org.micabarrow.admission.SlotAllotment;
import org.micabarrow.limits.EntryRank;
import org.micabarrow.routing.ColdEndpoints;
import org.micabarrow.routing.EndpointLoad;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.EndpointSelector;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.routing.ModelProfile;
import org.micabarrow.routing.PlacementFilter;
import org.micabarrow.routing.RoutingRequest;

/**
 * Plays entries whose clients ask for more than the warm endpoints can serve, while as many cold endpoints start and some of the warm ones
 * turn cold again, with the rules that entries and agents have in earnest. Seeded, without a network.
 */
final class ColdPlay {

    static final int ENTRIES = 14;
    static final int ENDPOINTS = 68;
    static final double STARTED_AT_MILLIS = 5_000;
    static final double COLD_MILLIS = 4_000;
    static final double COLD_AGAIN_AT_MILLIS = 12_000;
    static final double END_MILLIS = 18_000;

    private static final int SLOTS = 12;
    private static final ModelProfile MODEL = new ModelProfile("m", SLOTS, 20.7, 9.27, 0.02, 5, 16, 64, 32_768);
    private static final double REQUESTS_A_SECOND = 1_000;
    private static final double RUN_MILLIS = 700;
    private static final double MAX_WAY_MILLIS = 20;
    private static final double READ_MILLIS = 750;
    private static final double HEARTBEAT_MILLIS = 1_200;
    private static final double NEAR_MILLIS = 150;
    private static final double FAR_MILLIS = 450;
    private static final double HEARD_MILLIS = 1_000;
    private static final long OBJECTIVE_MILLIS = 1_000;
    private static final double STANDSTILL_MILLIS = 1_000;
    private static final double TURN_MILLIS = STANDSTILL_MILLIS / 2;
    private static final double POLL_MILLIS = 30;

    /** What goes wrong. */
    enum Trouble {
        NONE,
        /** The endpoints that start have no agents. */
        NO_AGENTS,
        /** A third of the entries hears no agent for two seconds at a time. */
        CUT,
        /** Entries start again, one each half second. */
        ENTRIES_RESTART,
        /** Half of the entries die while endpoints are cold. */
        ENTRIES_DIE,
        /** Half of the entries start while endpoints are cold. */
        GROWTH,
        /** A fifth of the entries stands still for a second at a time. */
        STANDSTILLS
    }

    private final double perSecond;
    private final Trouble trouble;
    private final Random random;
    private final Events events = new Events();
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private int entriesStarted;

    private ColdPlay(double perSecond, Trouble trouble, long seed) {
        this.perSecond = perSecond;
        this.trouble = trouble;
        this.random = new Random(seed);
    }

    /** Plays to the end. */
    static ColdPlay play(double perSecond, Trouble trouble, long seed) {
        ColdPlay play = new ColdPlay(perSecond, trouble, seed);
        for (int i = 0; i < ENDPOINTS; i++) {
            play.endpoints.add(play.new Endpoint("e" + i, i % 2 == 0));
        }
        for (int i = 0; i < ENTRIES; i++) {
            boolean later = trouble == Trouble.GROWTH && i % 2 == 1;
            play.events.after(later ? STARTED_AT_MILLIS + 700 + i * 50 : 0, play::addEntry);
        }
        play.want();
        play.trouble();
        play.events.playUntil(END_MILLIS);
        return play;
    }

    /** The moments at which requests reached each endpoint while it was cold and entries could know that. */
    List<List<Double>> arrivalsWhileCold() {
        return endpoints.stream().map(endpoint -> endpoint.coldArrivals).toList();
    }

    /** How many requests reached the endpoints that started, from one moment to another. */
    long arrivalsAtStarted(double from, double to) {
        return endpoints.stream()
                .filter(endpoint -> !endpoint.warmFromStart)
                .flatMap(endpoint -> endpoint.arrivals.stream())
                .filter(at -> at >= from && at < to)
                .count();
    }

    private double way() {
        return random.nextDouble() * MAX_WAY_MILLIS;
    }

    private void addEntry() {
        Entry entry = new Entry("entry-" + entriesStarted++);
        entries.add(entry);
        entry.read();
        events.after(NEAR_MILLIS, entry::ask);
        events.after(2 * NEAR_MILLIS, () -> entry.ready = true);
    }

    private void want() {
        events.after(-Math.log(1 - random.nextDouble()) * 1_000 / REQUESTS_A_SECOND, this::want);
        List<Entry> ready = entries.stream().filter(entry -> entry.ready).toList();
        if (!ready.isEmpty()) {
            ready.get(random.nextInt(ready.size())).take(events.now());
        }
    }

    private void trouble() {
        events.after(TURN_MILLIS, this::trouble);
        int turn = (int) (events.now() / TURN_MILLIS);
        switch (trouble) {
            case CUT -> entries.forEach(entry -> entry.cut = (entry.number() + turn / 4) % 3 == 0);
            case STANDSTILLS -> entries.forEach(entry -> entry.stands = (entry.number() + turn / 2) % 5 == 0);
            case ENTRIES_RESTART -> {
                if (entries.isEmpty()) {
                    return;
                }
                entries.remove(turn % entries.size()).ended = true;
                addEntry();
            }
            case ENTRIES_DIE -> {
                if (turn * TURN_MILLIS == STARTED_AT_MILLIS + 1_500) {
                    entries.subList(0, ENTRIES / 2).forEach(entry -> entry.ended = true);
                    entries.removeIf(entry -> entry.ended);
                }
            }
            case NONE, NO_AGENTS, GROWTH -> {}
        }
    }

    // -- endpoints and the agents beside them

    private final class Endpoint {

        private final String id;
        private final boolean warmFromStart;
        private final List<Double> arrivals = new ArrayList<>();
        private final List<Double> coldArrivals = new ArrayList<>();
        private final SlotAllotment slots = new SlotAllotment(random);
        private final Map<String, Double> heard = new HashMap<>();
        private Optional<EndpointRegistration> written = Optional.empty();
        private double coldSinceMillis;
        private double coldUntilMillis;
        private int running;
        private double agentSinceMillis;

        private Endpoint(String id, boolean warmFromStart) {
            this.id = id;
            this.warmFromStart = warmFromStart;
            if (warmFromStart) {
                write();
                if (Integer.parseInt(id.substring(1)) % 3 == 0) {
                    events.after(COLD_AGAIN_AT_MILLIS, this::turnCold);
                }
            } else {
                events.after(STARTED_AT_MILLIS + random.nextDouble() * 500, this::turnCold);
            }
        }

        private void turnCold() {
            coldSinceMillis = events.now();
            coldUntilMillis = coldSinceMillis + COLD_MILLIS;
            agentSinceMillis = warmFromStart ? 0 : coldSinceMillis;
            write();
        }

        private void write() {
            long left = (long) Math.max(0, coldUntilMillis - events.now());
            written = Optional.of(new EndpointRegistration(
                    id,
                    "s",
                    "10.0.0.1:80",
                    "hall",
                    SLOTS,
                    false,
                    Map.of("m", 1L),
                    16,
                    OptionalLong.empty(),
                    OptionalLong.of(events.nowMillis()),
                    left));
            events.after(HEARTBEAT_MILLIS, this::write);
        }

        /**
         * From when on every entry can know that the endpoint is cold: from the start if it starts cold, since nobody can send to it
         * before; otherwise once all have read what it wrote, for which an entry must not stand still.
         */
        private double knownFromMillis() {
            if (!warmFromStart) {
                return coldSinceMillis;
            }
            double standing = trouble == Trouble.STANDSTILLS ? STANDSTILL_MILLIS + READ_MILLIS : 0;
            return coldSinceMillis + READ_MILLIS + 4 * MAX_WAY_MILLIS + standing;
        }

        /** A request arrives; one that takes the place of another waits inside for as long as that runs. */
        private void arrive(Runnable ended) {
            arrivals.add(events.now());
            if (events.now() >= knownFromMillis() && events.now() < coldUntilMillis) {
                coldArrivals.add(events.now());
            }
            running++;
            double rounds = Math.ceil(running / (double) SLOTS);
            events.after(rounds * RUN_MILLIS, () -> {
                running--;
                events.after(way(), ended);
            });
        }

        private void asked(Entry entry, int unmet) {
            if (written.isEmpty() || trouble == Trouble.NO_AGENTS && !warmFromStart) {
                return;
            }
            double now = events.now();
            heard.put(entry.name, now);
            heard.values().removeIf(at -> now - at > HEARD_MILLIS);
            Optional<EntryRank> rank = now - agentSinceMillis < HEARD_MILLIS
                    ? Optional.empty()
                    : Optional.of(EntryRank.ranks(heard.keySet(), id).get(entry.name));
            int places = slots.allot(entry.name, unmet, SlotAllotment.allottable(SLOTS, running), events.nowMillis());
            LoadReport report = new LoadReport(running, 0, false, 1, places);
            events.after(way(), () -> entry.answered(id, report, rank));
        }
    }

    // -- entries

    private final class Entry {

        private final String name;
        private final ColdEndpoints cold = new ColdEndpoints(service -> OptionalDouble.of(perSecond));
        private final EndpointSelector choice =
                new EndpointSelector("r", PlacementFilter.of(Map.of("hall", "r")), cold);
        private final AdmissionControl admission = new AdmissionControl(choice);
        private final Map<String, EndpointRegistration> listed = new HashMap<>();
        private boolean ready;
        private boolean cut;
        private boolean stands;
        private boolean ended;

        private Entry(String name) {
            this.name = name;
        }

        private int number() {
            return Integer.parseInt(name.substring(name.indexOf('-') + 1));
        }

        /** Reads what endpoints wrote, as entries do: each new registration states its cold time before it is listed. */
        private void read() {
            if (ended) {
                return;
            }
            events.after(READ_MILLIS * (0.9 + 0.1 * random.nextDouble()), this::read);
            if (stands) {
                return;
            }
            List<EndpointRegistration> now = endpoints.stream()
                    .flatMap(endpoint -> endpoint.written.stream())
                    .filter(written -> !written.equals(listed.get(written.id())))
                    .toList();
            events.after(
                    way(),
                    () -> now.forEach(written -> {
                        cold.stated(written.start(), written.coldLeftMillis(), "registration", events.nowMillis());
                        listed.put(written.id(), written);
                    }));
        }

        private void ask() {
            if (ended) {
                return;
            }
            events.after(number() % 3 == 0 ? NEAR_MILLIS : FAR_MILLIS, this::ask);
            if (!cut && !stands) {
                int unmet = choice.unmetDemand().recent(events.nowMillis());
                endpoints.forEach(endpoint -> events.after(way(), () -> endpoint.asked(this, unmet)));
            }
        }

        private void answered(String id, LoadReport report, Optional<EntryRank> rank) {
            rank.ifPresent(one -> choice.entryCount().reported(one.entries(), events.nowMillis()));
            EndpointLoad load = choice.load(id);
            load.reported(report, 2, events.nowMillis());
            rank.ifPresent(load::rankReported);
        }

        private void take(double sinceMillis) {
            if (ended) {
                return;
            }
            if (stands) {
                events.after(POLL_MILLIS, () -> take(sinceMillis));
                return;
            }
            RoutingRequest request = new RoutingRequest(
                    900,
                    OBJECTIVE_MILLIS,
                    OBJECTIVE_MILLIS - (long) (events.now() - sinceMillis),
                    6_000,
                    Optional.of(MODEL),
                    0,
                    0,
                    Set.of());
            switch (admission.decide(List.copyOf(listed.values()), request, events.nowMillis())) {
                case Decision.Send(var selected) -> send(selected.endpoint());
                case Decision.Wait ignored -> events.after(POLL_MILLIS, () -> take(sinceMillis));
                case Decision.Full ignored -> refuse();
                case Decision.RateLimited ignored -> refuse();
                case Decision.Unable ignored -> refuse();
                case Decision.BackingOff ignored -> throw new AssertionError("no endpoint rests");
                case Decision.PoisonRequest ignored -> throw new AssertionError("no endpoint ends");
            }
        }

        private void refuse() {
            choice.unmetDemand().refused(events.nowMillis());
        }

        private void send(EndpointRegistration chosen) {
            EndpointLoad load = choice.load(chosen.start());
            load.requestSent(0);
            load.rateLimit().sent(events.nowMillis());
            load.coldLimit().sent(events.nowMillis());
            Endpoint endpoint = endpoints.get(Integer.parseInt(chosen.id().substring(1)));
            events.after(way(), () -> endpoint.arrive(load::requestEnded));
        }
    }
}
