package org.micabarrow.views;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.micabarrow.views.PeerFirstReader.Role;

/** What peers told of the store, and whose word counts for how long. Not safe for several threads at once. */
final class ToldNews {

    /**
     * How long what a peer told counts, in milliseconds: entries nearby tell some seven times in it, so that a few may be lost. A
     * peer that lost the store tells nothing.
     */
    private static final long TOLD_MILLIS = 1_000;

    /**
     * The same of what an entry is told of the region's reader, in milliseconds: agents tell some three times in it. They go on naming
     * a reader that ended for as long; the two together, and a read of the store, are to fit into two seconds.
     */
    private static final long READER_TOLD_MILLIS = 500;

    /**
     * How old what an entry knows may be for agents to go by it, in milliseconds: a weight version is to be in use within some eight
     * seconds, and its copy alone takes three to five.
     */
    private static final long AGENT_TRUST_MILLIS = 3_000;

    private final Role role;
    private final Map<String, Told> told = new HashMap<>();

    /** Whether the store answered this process when it was last asked. */
    private boolean storeAnswers = true;

    private record Told(String peer, ChangeOffsets changes, long asOfMillis, long atMillis) {}

    ToldNews(Role role) {
        this.role = role;
    }

    /** Takes note of what a peer tells, and tells whether it is something else than before. */
    boolean take(String peer, ChangeOffsets changes, long asOfMillis, long nowMillis) {
        Told before = told.put(peer, new Told(peer, changes, asOfMillis, nowMillis));
        return before == null || !before.changes().equals(changes);
    }

    /** Goes by a peer no more until it tells again. */
    void forget(String peer) {
        told.remove(peer);
    }

    /** Takes note of whether the store answers this process. */
    void storeAnswers(boolean answers) {
        storeAnswers = answers;
    }

    /** Whether the store answered this process when it was last asked. */
    boolean storeAnswers() {
        return storeAnswers;
    }

    // -- whose word counts

    /** Whether anybody's word counts now. */
    boolean peersTell(long nowMillis) {
        told.values().removeIf(one -> nowMillis - one.atMillis() >= toldMillis());
        return counting(nowMillis).findAny().isPresent();
    }

    private Stream<Told> counting(long nowMillis) {
        return told.values().stream().filter(one -> counts(one, nowMillis));
    }

    private boolean counts(Told one, long nowMillis) {
        boolean known = nowMillis - one.asOfMillis() < trustMillis();
        return switch (role) {
            case Role.Agent ignored -> known;
            case Role.Entry entry -> known && (one.peer().compareTo(entry.self()) < 0 || !storeAnswers);
        };
    }

    /** When nobody's word counts any more, unless somebody tells again. */
    long endOfTrust(long nowMillis) {
        return counting(nowMillis)
                .mapToLong(one -> Math.min(one.atMillis() + toldMillis(), one.asOfMillis() + trustMillis()))
                .max()
                .orElse(nowMillis);
    }

    /** How long what a peer knows is young enough to go by, in milliseconds; 0 for one that told nothing. */
    long trustLeft(String peer, long nowMillis) {
        Told one = told.get(peer);
        return one == null ? 0 : one.asOfMillis() + trustMillis() - nowMillis;
    }

    private long toldMillis() {
        return switch (role) {
            case Role.Agent ignored -> TOLD_MILLIS;
            case Role.Entry ignored -> READER_TOLD_MILLIS;
        };
    }

    private long trustMillis() {
        return switch (role) {
            case Role.Agent ignored -> AGENT_TRUST_MILLIS;
            case Role.Entry entry -> entry.trustMillis();
        };
    }

    // -- what they know

    /** The peer that knows most of what this process needs beyond an offset. */
    Optional<String> ahead(Topic topic, long from, long nowMillis) {
        return counting(nowMillis)
                .filter(one -> needed(one.changes(), topic) > from)
                .max(Comparator.comparingLong(one -> needed(one.changes(), topic)))
                .map(Told::peer);
    }

    /** A peer that knows of a change beyond an offset, be it one that this process needs or not. */
    Optional<String> anyBeyond(Topic topic, long from, long nowMillis) {
        return counting(nowMillis)
                .filter(one -> one.changes().of(topic) > from)
                .map(Told::peer)
                .findFirst();
    }

    /** Where the last change stands that this process needs. */
    private long needed(ChangeOffsets changes, Topic topic) {
        return topic == Topic.OPERATOR && role instanceof Role.Agent ? changes.weights() : changes.of(topic);
    }
}
