package org.micabarrow.play;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.micabarrow.crashes.Cause;
import org.micabarrow.crashes.CrashRegistry;
import org.micabarrow.crashes.CrashUpdate;
import org.micabarrow.crashes.EndpointCrash;
import org.micabarrow.crashes.PromptPart;
import org.micabarrow.crashes.RequestCauses;
import org.micabarrow.crashes.RequestDigest;
import org.micabarrow.crashes.SuspectIsolation;
import org.micabarrow.crashes.SuspicionLevel;
import org.micabarrow.routing.EndpointRegistration;

/**
 * Plays requests of which some end the endpoints that run them, by their content or by a part of their prompts, beside endpoints that
 * end for other reasons, with the books and the placement of suspects that entries have in earnest. It knows which requests do it, and
 * counts what happens to the others. Seeded, without a network.
 */
final class CrashPlay {

    private static final int SLOTS = 16;
    private static final double MEAN_RUN_MILLIS = 600;
    private static final double LOAD = 0.5;

    /** How long after its beginning a request ends its endpoint. */
    private static final double CRASH_MILLIS = 80;

    private static final double FIRST_EVENT_MILLIS = 150;

    private static final double BACK_MILLIS = 3_000;

    /** How long an entry takes to know that an endpoint whose connections broke has ended. */
    private static final double SURE_MILLIS = 12;

    /** An entry's news wait for the write before, and the store takes some milliseconds. */
    private static final int MAX_WRITE_MILLIS = 60;

    private static final int MAX_READ_MILLIS = 30;
    private static final int TRIES = 2;
    private static final int SENDINGS = 2;
    private static final double KILL_EVERY_MILLIS = 10_000;
    private static final double HOT_SHARE = 0.03;
    private static final long MEMORY_MILLIS = 600_000;
    private static final double WAIT_MILLIS = 400;

    private final CrashSetting setting;
    private final Random random;
    private final Events events = new Events();
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final Map<RequestDigest, Culprit> culprits = new HashMap<>();
    private final PlayedPrompts prompts;
    private final CrashOutcome outcome = new CrashOutcome();
    private int starts;
    private long contents;

    private CrashPlay(CrashSetting setting) {
        this.setting = setting;
        this.random = new Random(setting.seed());
        this.prompts = new PlayedPrompts(setting.prompts(), events, ~setting.seed());
        for (int i = 0; i < setting.endpoints(); i++) {
            endpoints.add(new Endpoint(i));
        }
        for (int i = 0; i < setting.entries(); i++) {
            entries.add(new Entry());
        }
    }

    static CrashOutcome play(CrashSetting setting, double seconds) {
        CrashPlay play = new CrashPlay(setting);
        play.arrive();
        play.kill();
        for (int i = 0; i < setting.crashers(); i++) {
            Culprit culprit = play.new Culprit("crasher-" + i);
            play.culprits.put(culprit.request, culprit);
            play.events.after(5_000 + (setting.atOnce() ? 0 : i * 6_000), culprit::come);
        }
        play.prompts.begin(play::comePoisonPrompt);
        if (setting.hallLost()) {
            play.events.after(seconds * 500, play::loseHall);
        }
        play.events.playUntil(seconds * 1_000);
        play.culprits.values().forEach(Culprit::tell);
        play.outcome.endedByPart.putAll(play.prompts.ended());
        play.outcome.sentLate.putAll(play.prompts.sentLate());
        return play.outcome;
    }

    private static RequestDigest digest(String content) {
        String hex = String.format(Locale.ROOT, "%08x%08x%016x", content.hashCode(), content.length(), 0);
        return new RequestDigest(hex);
    }

    private double exponential(double mean) {
        return -Math.log(1 - random.nextDouble()) * mean;
    }

    // -- requests

    private void arrive() {
        double perMilli = setting.endpoints() * SLOTS * LOAD / MEAN_RUN_MILLIS;
        events.after(exponential(1 / perMilli), this::arrive);
        boolean hot = random.nextDouble() < HOT_SHARE;
        outcome.harmless++;
        RequestDigest request = hot ? digest("hot") : digest("content " + contents++);
        new Try(
                        RequestCauses.of(request, prompts.harmless(contents)),
                        TRIES,
                        entries.get(random.nextInt(entries.size())))
                .begin();
    }

    private void comePoisonPrompt(Set<PromptPart> parts) {
        RequestDigest content = digest("poison prompt " + contents++);
        Entry entry = entries.get((int) (contents % entries.size()));
        new Try(RequestCauses.of(content, parts), TRIES, entry).begin();
    }

    private Optional<PlayedPrompts.PoisonPart> poisonIn(RequestCauses request) {
        return prompts.poisonIn(request.parts());
    }

    /** A request that ends the endpoints that run it, and comes again and again. */
    private final class Culprit {

        private final RequestDigest request;
        private final List<Double> crashes = new ArrayList<>();
        private final Set<Integer> runningAtThird = new HashSet<>();
        private int more;

        private Culprit(String name) {
            request = digest(name);
        }

        private void come() {
            new Try(RequestCauses.of(request), 1, entries.get(random.nextInt(entries.size()))).begin();
            events.after(exponential(1_000), this::come);
        }

        private void crashed(int start) {
            crashes.add(events.now());
            if (crashes.size() == 3) {
                endpoints.stream()
                        .filter(one -> one.up && one.there.stream().anyMatch(run -> run.request.holds(request)))
                        .forEach(one -> runningAtThird.add(one.start));
            } else if (crashes.size() > 3 && !runningAtThird.contains(start)) {
                more++;
            }
        }

        private void tell() {
            outcome.endedByMore.put(request.hex(), more);
            if (crashes.size() < 3) {
                return;
            }
            double third = crashes.get(2);
            for (Entry entry : entries) {
                outcome.slowestMillis =
                        Math.max(outcome.slowestMillis, entry.refusedSince.getOrDefault(request, events.now()) - third);
            }
            outcome.convicted++;
        }
    }

    /** One try of a client at an entry. */
    private final class Try {

        private final RequestCauses request;
        private final int triesLeft;
        private final Entry entry;
        private final Set<Integer> tried = new HashSet<>();
        private int sendings;
        private double waitsSince = -1;
        private boolean isolated;
        private final boolean stream = random.nextDouble() < setting.streams();

        /** Whether it is a harmless client's first try, at a time when every entry must know the poison parts. */
        private final boolean late;

        private Try(RequestCauses request, int triesLeft, Entry entry) {
            this.request = request;
            this.triesLeft = triesLeft;
            this.entry = entry;
            this.late = triesLeft == TRIES && harmless() && prompts.allKnown();
            if (late) {
                outcome.harmlessLate++;
            }
        }

        private boolean harmless() {
            return !culprits.containsKey(request.digest()) && poisonIn(request).isEmpty();
        }

        private void begin() {
            SuspicionLevel standing = entry.book.suspicion(request, events.nowMillis());
            switch (standing) {
                case SuspicionLevel.Refused ignored -> {
                    if (harmless()) {
                        outcome.harmlessRefused++;
                    }
                }
                case SuspicionLevel.Unsuspected ignored -> {
                    isolated = false;
                    send(entry.anywhere(tried), Optional.empty());
                }
                case SuspicionLevel.Suspected suspected -> sendSuspect(suspected);
            }
        }

        private void sendSuspect(SuspicionLevel.Suspected suspected) {
            List<EndpointRegistration> free = entry.placement.withoutOtherSuspects(entry.listed(tried), suspected);
            Optional<Endpoint> chosen = SuspectIsolation.mustIsolate(suspected)
                    ? free.stream()
                            .map(entry::endpoint)
                            .filter(Endpoint::hasRoom)
                            .findFirst()
                    : entry.leastLoaded(free).or(() -> entry.anywhere(tried));
            isolated = SuspectIsolation.mustIsolate(suspected);
            send(chosen, Optional.of(suspected.cause()));
        }

        private void waitOrGiveUp() {
            if (waitsSince < 0) {
                waitsSince = events.now();
            }
            if (events.now() - waitsSince < WAIT_MILLIS) {
                events.after(20, this::begin);
            } else if (harmless()) {
                outcome.harmlessWaitedInVain++;
                outcome.harmlessIsolatedInVain += isolated ? 1 : 0;
            }
        }

        private void send(Optional<Endpoint> chosen, Optional<Cause> suspect) {
            if (chosen.isEmpty()) {
                waitOrGiveUp();
                return;
            }
            sendings++;
            if (late && sendings == 1) {
                outcome.harmlessLateBegun++;
            }
            tried.add(chosen.get().start);
            new Run(this, chosen.get(), suspect).begin();
        }

        private void broke() {
            if (sendings < SENDINGS) {
                begin();
            } else if (triesLeft > 1) {
                Entry next = entries.get(random.nextInt(entries.size()));
                events.after(50, () -> new Try(request, triesLeft - 1, next).begin());
            }
        }
    }

    /** One run of a request at an endpoint. */
    private final class Run {

        private final Try of;
        private final RequestCauses request;
        private final Endpoint endpoint;
        private final int start;
        private final Optional<Cause> suspect;
        private final double beganMillis = events.now();

        private Run(Try of, Endpoint endpoint, Optional<Cause> suspect) {
            this.of = of;
            this.request = of.request;
            this.endpoint = endpoint;
            this.start = endpoint.start;
            this.suspect = suspect;
        }

        private void begin() {
            endpoint.there.add(this);
            suspect.ifPresent(cause -> of.entry.placement.started(endpoint.entry.start(), cause));
            poisonIn(request).ifPresent(PlayedPrompts.PoisonPart::sent);
            double millis = of.harmless() ? exponential(MEAN_RUN_MILLIS) : CRASH_MILLIS;
            events.after(millis, this::end);
            if (begins() && millis > firstEventMillis()) {
                events.after(firstEventMillis(), () -> {
                    if (runs()) {
                        of.entry.answered(request, false);
                    }
                });
            }
        }

        /** Whether the answer comes part by part, as of a stream. */
        private boolean begins() {
            return of.harmless()
                    ? of.stream
                    : setting.prompts().begun() && poisonIn(request).isPresent();
        }

        private double firstEventMillis() {
            return of.harmless() ? FIRST_EVENT_MILLIS : CRASH_MILLIS / 2;
        }

        /** Whether a part of the answer has come. */
        private boolean begun() {
            return begins() && events.now() - beganMillis > firstEventMillis();
        }

        private boolean runs() {
            return endpoint.up && endpoint.start == start;
        }

        private void end() {
            if (!runs()) {
                return;
            }
            if (of.harmless()) {
                endpoint.there.remove(this);
                over();
                outcome.harmlessServed++;
                of.entry.answered(request, true);
            } else {
                Optional.ofNullable(culprits.get(request.digest())).ifPresent(culprit -> culprit.crashed(start));
                poisonIn(request).ifPresent(PlayedPrompts.PoisonPart::crashed);
                endpoint.crash(true);
            }
        }

        private void over() {
            suspect.ifPresent(cause -> of.entry.placement.ended(endpoint.entry.start(), cause));
        }
    }

    // -- endpoints

    private final class Endpoint {

        private final int number;
        private final Set<Run> there = new LinkedHashSet<>();
        private EndpointRegistration entry;
        private int start;
        private boolean up;

        private Endpoint(int number) {
            this.number = number;
            comeUp();
        }

        private void comeUp() {
            start = starts++;
            entry = EndpointRegistration.of(
                    "e-" + number + "-" + start, "s", "127.0.0.1:1", "h", SLOTS, false, Map.of(), 1);
            up = true;
        }

        private boolean hasRoom() {
            return up && there.size() < SLOTS;
        }

        /** Ends; entries see that their connections break, and that the port is dead, unless the instance lost its power. */
        private void crash(boolean seen) {
            up = false;
            List<Run> broken = List.copyOf(there);
            there.clear();
            EndpointRegistration ended = entry;
            events.after(BACK_MILLIS, this::comeUp);
            if (seen) {
                for (Entry one : entries) {
                    Set<RequestDigest> aboard = new HashSet<>();
                    Set<RequestDigest> begun = new HashSet<>();
                    Map<RequestDigest, Set<PromptPart>> parts = new HashMap<>();
                    broken.stream().filter(run -> run.of.entry == one).forEach(run -> {
                        (run.begun() ? begun : aboard).add(run.request.digest());
                        parts.put(run.request.digest(), run.request.parts());
                    });
                    if (!aboard.isEmpty() || !begun.isEmpty()) {
                        EndpointCrash crash = EndpointCrash.of(ended.start(), aboard, begun, parts);
                        events.after(SURE_MILLIS, () -> one.saw(crash));
                    }
                }
            }
            broken.forEach(run -> {
                run.over();
                events.after(seen ? SURE_MILLIS : 400, run.of::broke);
            });
        }
    }

    private void kill() {
        events.after(KILL_EVERY_MILLIS, this::kill);
        int count = (int) Math.ceil(setting.endpoints() * setting.killedShare());
        for (int i = 0; i < count && setting.killedShare() > 0; i++) {
            Endpoint one = endpoints.get(random.nextInt(endpoints.size()));
            events.after(random.nextDouble() * KILL_EVERY_MILLIS, () -> {
                if (one.up) {
                    one.crash(true);
                }
            });
        }
    }

    private void loseHall() {
        endpoints.stream().filter(one -> one.number % 3 == 0 && one.up).forEach(one -> one.crash(false));
    }

    // -- entries

    private final class Entry {

        private final CrashRegistry book = new CrashRegistry(MEMORY_MILLIS, 4_000, setting::endpoints);
        private final SuspectIsolation placement = new SuspectIsolation();
        private final Map<Cause, Double> refusedSince = new HashMap<>();
        private final double writeMillis = 5 + random.nextInt(MAX_WRITE_MILLIS);
        private final double readMillis = 5 + random.nextInt(MAX_READ_MILLIS);

        private List<EndpointRegistration> listed(Set<Integer> tried) {
            return endpoints.stream()
                    .filter(one -> one.up && !tried.contains(one.start))
                    .map(one -> one.entry)
                    .toList();
        }

        private Endpoint endpoint(EndpointRegistration listed) {
            return endpoints.stream()
                    .filter(one -> one.entry.equals(listed))
                    .findFirst()
                    .orElseThrow();
        }

        /** The better of two by chance; all if there are few. */
        private Optional<Endpoint> anywhere(Set<Integer> tried) {
            Optional<Endpoint> best = Optional.empty();
            for (int i = 0; i < 4; i++) {
                Endpoint one = endpoints.get(random.nextInt(endpoints.size()));
                boolean better =
                        best.isEmpty() || one.there.size() < best.get().there.size();
                if (one.hasRoom() && !tried.contains(one.start) && better) {
                    best = Optional.of(one);
                }
            }
            return best;
        }

        private Optional<Endpoint> leastLoaded(List<EndpointRegistration> free) {
            return free.stream()
                    .map(this::endpoint)
                    .filter(Endpoint::hasRoom)
                    .min(java.util.Comparator.comparingInt(one -> one.there.size()));
        }

        /** Tells the others as the store does: all read what was written in the order in which it was. */
        private void tell(CrashUpdate news) {
            events.after(
                    writeMillis, () -> entries.forEach(one -> events.after(one.readMillis, () -> one.learn(news))));
        }

        private void saw(EndpointCrash crash) {
            CrashUpdate news = new CrashUpdate.Crashed(crash);
            learn(news);
            tell(news);
        }

        private void learn(CrashUpdate news) {
            book.apply(news, events.nowMillis());
            book.refused().forEach(request -> refusedSince.putIfAbsent(request, events.now()));
        }

        private void answered(RequestCauses request, boolean whole) {
            book.answered(request, whole).forEach(cause -> tell(new CrashUpdate.Cleared(cause, whole)));
        }
    }
}
