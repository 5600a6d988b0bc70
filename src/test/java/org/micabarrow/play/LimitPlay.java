package org.micabarrow.play;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import org.micabarrow.limits.EndpointRateLimit;
import org.micabarrow.limits.EntryCount;
import org.micabarrow.limits.EntryRank;
import org.micabarrow.limits.QuotaShare;
import org.micabarrow.limits.RateLimitRelay;
import org.micabarrow.limits.RateLimitUpdate;

/**
 * Plays entries that all want to send to one endpoint as often as it lets them, while it names a limit, and the agent beside it, with the
 * rules that both have in earnest. Seeded, without a network.
 */
final class LimitPlay {

    private static final String ENDPOINT = "endpoint-a";

    /** How often an entry has a request that it would send there. */
    private static final double WANTED_EVERY_MILLIS = 100;

    private static final double MAX_LATENCY_MILLIS = 40;

    /** How long an answer takes to begin. */
    private static final double MAX_RESPONSE_MILLIS = 300;

    /** An entry takes requests one round of questions after its start. */
    private static final double READY_AFTER_MILLIS = 150;

    private static final double NEAR_MILLIS = 150;
    private static final double FAR_MILLIS = 450;

    /** How long what an entry asked counts with the agent. */
    private static final double HEARD_MILLIS = 1_000;

    /** For how long an agent counts as telling after its last answer. */
    private static final double TOLD_MILLIS = 2_000;

    /** How many entries share the smallest limits: the longest time in which none of them has its turn, in requests. */
    static final int ENTRIES_AT_ONCE = QuotaShare.EXTRA_ENTRIES;

    static final double NAMED_AT_MILLIS = 10_000;
    static final double ENDED_AT_MILLIS = 70_000;

    /** What goes wrong. */
    enum Trouble {
        NONE,
        /** There is no agent beside the endpoint; agents elsewhere tell how many entries there are. */
        NO_AGENT,
        /** No entry hears any agent, or ever did. */
        NO_PEERS,
        /** The agent starts again each ten seconds. */
        AGENT_RESTARTS,
        /** A third of the entries hears no agent for ten seconds at a time. */
        CUT,
        /** Entries start again, one each two seconds. */
        ENTRIES_RESTART,
        /** Entries stand still for two seconds, a fifth of them at a time. */
        STANDSTILLS,
        /** Half of the entries start while the limit holds. */
        GROWTH
    }

    /**
     * What is played.
     *
     * @param entries how many entries
     * @param perSecond the limit
     * @param trouble what goes wrong
     * @param seed decides all that is random
     */
    record Setting(int entries, double perSecond, Trouble trouble, long seed) {}

    private final Setting setting;
    private final Random random;
    private final Events events = new Events();
    private final List<Entry> entries = new ArrayList<>();
    private final List<Double> arrivals = new ArrayList<>();
    private Agent agent = new Agent();
    private int started;

    private LimitPlay(Setting setting) {
        this.setting = setting;
        this.random = new Random(setting.seed());
    }

    /** The moments at which requests reached the endpoint, in milliseconds. */
    static List<Double> play(Setting setting, double millis) {
        LimitPlay play = new LimitPlay(setting);
        for (int i = 0; i < setting.entries(); i++) {
            boolean later = setting.trouble() == Trouble.GROWTH && i % 2 == 1;
            play.events.after(later ? NAMED_AT_MILLIS + 15_000 + i * 100 : 0, play::addEntry);
        }
        play.trouble();
        play.events.playUntil(millis);
        return play.arrivals;
    }

    private long now() {
        return (long) events.nowMillis();
    }

    private double way() {
        return random.nextDouble() * MAX_LATENCY_MILLIS;
    }

    private void addEntry() {
        Entry entry = new Entry("entry-" + started++);
        entries.add(entry);
        entry.ask();
        events.after(READY_AFTER_MILLIS, entry::want);
    }

    private void trouble() {
        events.after(2_000, this::troubleNow);
    }

    private void troubleNow() {
        int turn = (int) (events.nowMillis() / 2_000);
        switch (setting.trouble()) {
            case AGENT_RESTARTS -> agent = turn % 5 == 0 ? new Agent() : agent;
            case CUT -> entries.forEach(entry -> entry.cut = (entry.number() + turn / 5) % 3 == 0);
            case STANDSTILLS -> entries.forEach(entry -> entry.stands = (entry.number() + turn) % 5 == 0);
            case ENTRIES_RESTART -> {
                entries.remove(turn % entries.size()).ended = true;
                addEntry();
            }
            case NONE, NO_AGENT, NO_PEERS, GROWTH -> {}
        }
        trouble();
    }

    // -- the endpoint

    private OptionalDouble named() {
        double now = events.nowMillis();
        return now >= NAMED_AT_MILLIS && now < ENDED_AT_MILLIS
                ? OptionalDouble.of(setting.perSecond())
                : OptionalDouble.empty();
    }

    // -- the agent

    private final class Agent {

        private final RateLimitRelay relay = new RateLimitRelay();
        private final Map<String, Double> heard = new HashMap<>();
        private final double sinceMillis = events.nowMillis();
        private Map<String, EntryRank> ranks = Map.of();

        private EntryRank rank(Entry entry) {
            if (!ranks.keySet().equals(heard.keySet())) {
                ranks = EntryRank.ranks(heard.keySet(), ENDPOINT);
            }
            return ranks.get(entry.name);
        }

        private void asked(Entry entry, Optional<RateLimitUpdate> word, double askedMillis) {
            double now = events.nowMillis();
            heard.put(entry.name, now);
            heard.values().removeIf(at -> now - at > HEARD_MILLIS);
            word.ifPresent(said -> relay.received(said, now()));
            Optional<EntryRank> rank = now - sinceMillis < HEARD_MILLIS ? Optional.empty() : Optional.of(rank(entry));
            Optional<RateLimitUpdate> told = relay.update(now());
            events.after(way(), () -> entry.answered(rank, told, askedMillis));
        }
    }

    // -- entries

    private final class Entry {

        private final String name;
        private final EntryCount known = new EntryCount();
        private final EndpointRateLimit limit = new EndpointRateLimit(ENDPOINT, known, random);
        private double toldMillis = -TOLD_MILLIS - 1;
        private boolean cut;
        private boolean stands;
        private boolean ended;

        private Entry(String name) {
            this.name = name;
        }

        private int number() {
            return Integer.parseInt(name.substring(name.indexOf('-') + 1));
        }

        private void want() {
            if (ended) {
                return;
            }
            events.after(-Math.log(1 - random.nextDouble()) * WANTED_EVERY_MILLIS, this::want);
            if (!stands && limit.allows(events.nowMillis() - toldMillis <= TOLD_MILLIS, now())) {
                limit.sent(now());
                double sent = events.nowMillis();
                events.after(way(), () -> arrive((long) sent));
            }
        }

        private void arrive(long sentMillis) {
            arrivals.add(events.now());
            OptionalDouble named = named();
            events.after(random.nextDouble() * MAX_RESPONSE_MILLIS + way(), () -> head(named, sentMillis));
        }

        private void head(OptionalDouble named, long sentMillis) {
            limit.responseReceived(named, sentMillis, now());
        }

        private void ask() {
            if (ended) {
                return;
            }
            events.after(number() % 3 == 0 ? NEAR_MILLIS : FAR_MILLIS, this::ask);
            double asked = events.nowMillis();
            if (cut || stands || setting.trouble() == Trouble.NO_PEERS) {
                return;
            }
            if (setting.trouble() == Trouble.NO_AGENT) {
                known.reported(entries.size(), now());
                return;
            }
            Optional<RateLimitUpdate> word = limit.ownUpdate(now());
            events.after(way(), () -> agent.asked(this, word, asked));
        }

        private void answered(Optional<EntryRank> rank, Optional<RateLimitUpdate> told, double askedMillis) {
            toldMillis = events.nowMillis();
            rank.ifPresent(one -> known.reported(one.entries(), now()));
            rank.ifPresent(limit::rankReported);
            told.ifPresent(word -> limit.updated(word.toObservation((long) askedMillis, now())));
        }
    }
}
