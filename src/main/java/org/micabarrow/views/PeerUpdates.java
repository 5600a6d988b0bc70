package org.micabarrow.views;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.micabarrow.views.NewsReader.Role;

/** Updates that peers sent about the store, and which of them are valid for how long. Not thread-safe. */
final class PeerUpdates {

    /**
     * How long an agent relies on an update, in milliseconds. Nearby entries send some seven updates in this time, so
     * that a few may be lost. A peer that lost its connection to the store sends no updates.
     */
    private static final long TOLD_MILLIS = 1_000;

    /**
     * How long an entry relies on an update about the entry that reads the store for the region, in milliseconds.
     * Agents send some three updates in this time. They continue to name a reader that has ended for the same time;
     * twice this time and one read of the store must fit into two seconds.
     */
    private static final long READER_TOLD_MILLIS = 500;

    /**
     * The maximum age of an entry's knowledge on which agents rely, in milliseconds: a weight version must be in use
     * within about eight seconds, and copying it takes three to five of them.
     */
    private static final long AGENT_TRUST_MILLIS = 3_000;

    private final Role role;
    private final Map<String, Told> told = new HashMap<>();

    /** Whether the store responded to this process at the last read. */
    private boolean storeAnswers = true;

    private record Told(String peer, LastChanges changes, long asOfMillis, long atMillis) {}

    PeerUpdates(Role role) {
        this.role = role;
    }

    /** Records an update from a peer. Returns whether it differs from the previous one. */
    boolean take(String peer, LastChanges changes, long asOfMillis, long nowMillis) {
        Told before = told.put(peer, new Told(peer, changes, asOfMillis, nowMillis));
        return before == null || !before.changes().equals(changes);
    }

    /** Ignores a peer until it sends another update. */
    void forget(String peer) {
        told.remove(peer);
    }

    /** Records whether the store responds to this process. */
    void setStoreResponds(boolean answers) {
        storeAnswers = answers;
    }

    /** Whether the store responded to this process at the last read. */
    boolean storeAnswers() {
        return storeAnswers;
    }

    // -- validity

    /** Whether any update is valid now. */
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

    /** The time at which the last valid update expires, unless another one arrives. */
    long endOfTrust(long nowMillis) {
        return counting(nowMillis)
                .mapToLong(one -> Math.min(one.atMillis() + toldMillis(), one.asOfMillis() + trustMillis()))
                .max()
                .orElse(nowMillis);
    }

    /**
     * How long a peer's knowledge remains recent enough to rely on, in milliseconds; 0 for a peer without an update.
     */
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

    // -- contents

    /** The peer with the newest records that this process needs beyond an offset. */
    Optional<String> ahead(Topic topic, long from, long nowMillis) {
        return counting(nowMillis)
                .filter(one -> needed(one.changes(), topic) > from)
                .max(Comparator.comparingLong(one -> needed(one.changes(), topic)))
                .map(Told::peer);
    }

    /** A peer that knows of a change beyond an offset, whether or not this process needs it. */
    Optional<String> anyBeyond(Topic topic, long from, long nowMillis) {
        return counting(nowMillis)
                .filter(one -> one.changes().of(topic) > from)
                .map(Told::peer)
                .findFirst();
    }

    /** The offset of the last change that this process needs. */
    private long needed(LastChanges changes, Topic topic) {
        return topic == Topic.OPERATOR && role instanceof Role.Agent ? changes.weights() : changes.of(topic);
    }
}
