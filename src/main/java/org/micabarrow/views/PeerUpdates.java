package org.micabarrow.views;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.micabarrow.views.PeerFirstReader.Role;

/** Updates that peers sent about the store, and which of them are valid for how long. Not thread-safe. */
final class PeerUpdates {

    /**
     * How long an agent relies on an update, in milliseconds. Nearby entries send some seven updates in this time, so
     * that a few may be lost. A peer that lost its connection to the store sends no updates.
     */
    private static final long AGENT_UPDATE_EXPIRY_MILLIS = 1_000;

    /**
     * How long an entry relies on an update about the entry that reads the store for the region, in milliseconds.
     * Agents send some three updates in this time. They continue to name a reader that has ended for the same time;
     * twice this time and one read of the store must fit into two seconds.
     */
    private static final long ENTRY_UPDATE_EXPIRY_MILLIS = 500;

    /**
     * The maximum age of an entry's knowledge on which agents rely, in milliseconds: a weight version must be in use
     * within about eight seconds, and copying it takes three to five of them.
     */
    private static final long AGENT_MAX_AGE_MILLIS = 3_000;

    private final Role role;
    private final Map<String, Update> updates = new HashMap<>();

    /** Whether the store responded to this process at the last read. */
    private boolean storeResponds = true;

    /** The era of the store in which this process knows each topic. */
    private final Map<Topic, Long> eras = new EnumMap<>(Topic.class);

    private record Update(String peer, ChangeOffsets changes, long asOfMillis, long receivedAtMillis) {}

    PeerUpdates(Role role) {
        this.role = role;
    }

    /** Records an update from a peer. Returns whether it differs from the previous one. */
    boolean add(String peer, ChangeOffsets changes, long asOfMillis, long nowMillis) {
        Update previous = updates.put(peer, new Update(peer, changes, asOfMillis, nowMillis));
        return previous == null || !previous.changes().equals(changes);
    }

    /** Ignores a peer until it sends another update. */
    void remove(String peer) {
        updates.remove(peer);
    }

    /** Excludes peers that know a topic only as it was before the store continued from an older copy. */
    void requireEra(Topic topic, long era) {
        eras.merge(topic, era, Math::max);
    }

    /** Records whether the store responds to this process. */
    void setStoreResponds(boolean responds) {
        storeResponds = responds;
    }

    /** Whether the store responded to this process at the last read. */
    boolean storeResponds() {
        return storeResponds;
    }

    // -- expiry

    /** Whether any update is valid now. */
    boolean hasValidUpdate(Topic topic, long nowMillis) {
        updates.values().removeIf(update -> nowMillis - update.receivedAtMillis() >= expiryMillis());
        return validUpdates(topic, nowMillis).findAny().isPresent();
    }

    private Stream<Update> validUpdates(Topic topic, long nowMillis) {
        return updates.values().stream().filter(update -> isValid(update, topic, nowMillis));
    }

    private boolean isValid(Update update, Topic topic, long nowMillis) {
        boolean usable = nowMillis - update.asOfMillis() < maxAgeMillis()
                && EraOffset.era(update.changes().of(topic)) >= eras.getOrDefault(topic, 0L);
        return switch (role) {
            case Role.Agent ignored -> usable;
            case Role.Entry entry -> usable && (update.peer().compareTo(entry.self()) < 0 || !storeResponds);
        };
    }

    /** The time at which the last valid update expires, unless another one arrives. */
    long lastExpiryMillis(Topic topic, long nowMillis) {
        return validUpdates(topic, nowMillis)
                .mapToLong(update ->
                        Math.min(update.receivedAtMillis() + expiryMillis(), update.asOfMillis() + maxAgeMillis()))
                .max()
                .orElse(nowMillis);
    }

    /**
     * How long a peer's knowledge remains recent enough to rely on, in milliseconds; 0 for a peer without an update.
     */
    long remainingMillis(String peer, long nowMillis) {
        Update update = updates.get(peer);
        return update == null ? 0 : update.asOfMillis() + maxAgeMillis() - nowMillis;
    }

    private long expiryMillis() {
        return switch (role) {
            case Role.Agent ignored -> AGENT_UPDATE_EXPIRY_MILLIS;
            case Role.Entry ignored -> ENTRY_UPDATE_EXPIRY_MILLIS;
        };
    }

    private long maxAgeMillis() {
        return switch (role) {
            case Role.Agent ignored -> AGENT_MAX_AGE_MILLIS;
            case Role.Entry entry -> entry.maxAgeMillis();
        };
    }

    // -- contents

    /** The peer with the newest records that this process needs beyond an offset. */
    Optional<String> newestPeer(Topic topic, long from, long nowMillis) {
        return validUpdates(topic, nowMillis)
                .filter(update -> neededOffset(update.changes(), topic) > from)
                .max(Comparator.comparingLong(update -> neededOffset(update.changes(), topic)))
                .map(Update::peer);
    }

    /** A peer that knows of a change beyond an offset, whether or not this process needs it. */
    Optional<String> anyPeerBeyond(Topic topic, long from, long nowMillis) {
        return validUpdates(topic, nowMillis)
                .filter(update -> update.changes().of(topic) > from)
                .map(Update::peer)
                .findFirst();
    }

    /** The offset of the last change that this process needs. */
    private long neededOffset(ChangeOffsets changes, Topic topic) {
        return topic == Topic.OPERATOR && role instanceof Role.Agent ? changes.weights() : changes.of(topic);
    }
}
