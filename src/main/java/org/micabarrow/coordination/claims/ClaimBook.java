package org.micabarrow.coordination.claims;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The claims of one stream, folded in the order of the log. Every reader of the same records holds the same claims.
 *
 * <p>A key stays held for as long as the claim is kept; claims are let go by the time at which the log took them, so
 * that readers agree on this too.
 *
 * <p>Used by one thread.
 *
 * <pre>{@code
 * book.fold(atMillis, claim);
 * Optional<Claim> holder = book.holder(key);
 * }</pre>
 */
public final class ClaimBook {

    private final long keptMillis;
    private final LinkedHashMap<String, Held> inOrder = new LinkedHashMap<>();
    private final Map<String, Held> holders = new HashMap<>();
    private long newestMillis;

    /**
     * Makes an empty book.
     *
     * @param keptMillis how long a claim is kept
     */
    public ClaimBook(long keptMillis) {
        this.keptMillis = keptMillis;
    }

    /** A claim with the time at which the log took it, and the time at which this process saw it. */
    private record Held(Claim claim, long atMillis, long seenMillis) {}

    /**
     * Folds one claim.
     *
     * @param atMillis when the log took it
     * @param claim the claim
     * @return true if the claim holds its key now
     */
    public boolean fold(long atMillis, Claim claim) {
        return fold(atMillis, 0, claim);
    }

    /**
     * Folds one claim.
     *
     * @param atMillis when the log took it
     * @param seenMillis when this process saw it, by its own clock
     * @param claim the claim
     * @return true if the claim holds its key now
     */
    public boolean fold(long atMillis, long seenMillis, Claim claim) {
        Objects.requireNonNull(claim, "claim is null");
        newestMillis = Math.max(newestMillis, atMillis);
        letGo();
        Claim holder = holder(claim.key()).orElse(null);
        boolean takes = holder == null || claim.after().equals(Optional.of(holder.attempt()));
        if (takes) {
            Held held = new Held(claim, atMillis, seenMillis);
            holders.put(claim.key(), held);
            inOrder.put(claim.attempt(), held);
        }
        return takes || holder.attempt().equals(claim.attempt());
    }

    private void letGo() {
        var oldest = inOrder.values().iterator();
        while (oldest.hasNext()) {
            Held held = oldest.next();
            if (held.atMillis() > newestMillis - keptMillis) {
                return;
            }
            oldest.remove();
            holders.remove(held.claim().key(), held);
        }
    }

    /**
     * The claim that holds a key.
     *
     * @param key the key
     * @return the claim, if the key is held
     */
    public Optional<Claim> holder(String key) {
        return Optional.ofNullable(holders.get(key)).map(Held::claim);
    }

    /**
     * When this process saw the claim that holds a key.
     *
     * @param key the key
     * @return milliseconds by its own clock, 0 if the key is not held
     */
    public long seenMillis(String key) {
        return Optional.ofNullable(holders.get(key)).map(Held::seenMillis).orElse(0L);
    }

    /**
     * The number of keys held.
     *
     * @return the size
     */
    public int size() {
        return holders.size();
    }
}
