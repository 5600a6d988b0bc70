package org.micabarrow.coordination.claims;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The claims of one stream, applied in log order. Readers of the same records compute the same claims.
 *
 * <p>A key is held until its claim expires. Expiry is based on the timestamps that the log assigned to the claims, so that
 * all readers agree on it as well.
 *
 * <p>Not thread-safe.
 *
 * <pre>{@code
 * table.apply(atMillis, claim);
 * Optional<Claim> holder = table.holder(key);
 * }</pre>
 */
public final class ClaimTable {

    private final long retentionMillis;
    private final LinkedHashMap<String, Held> byAttempt = new LinkedHashMap<>();
    private final Map<String, Held> holders = new HashMap<>();
    private long latestLogMillis;

    /**
     * Creates an empty table.
     *
     * @param retentionMillis how long a claim is kept, in milliseconds
     */
    public ClaimTable(long retentionMillis) {
        this.retentionMillis = retentionMillis;
    }

    /** A claim with the time at which the log accepted it and the time at which this process read it. */
    private record Held(Claim claim, long atMillis, long seenMillis) {}

    /**
     * Applies one claim.
     *
     * @param atMillis when the log accepted it
     * @param claim the claim
     * @return whether the claim now holds its key
     */
    public boolean apply(long atMillis, Claim claim) {
        return apply(atMillis, 0, claim);
    }

    /**
     * Applies one claim.
     *
     * @param atMillis when the log accepted it
     * @param seenMillis when this process read it, by its own clock
     * @param claim the claim
     * @return whether the claim now holds its key
     */
    public boolean apply(long atMillis, long seenMillis, Claim claim) {
        Objects.requireNonNull(claim, "claim is null");
        latestLogMillis = Math.max(latestLogMillis, atMillis);
        removeExpired();
        Claim holder = holder(claim.key()).orElse(null);
        boolean acquired = holder == null || claim.after().equals(Optional.of(holder.attempt()));
        if (acquired) {
            Held held = new Held(claim, atMillis, seenMillis);
            holders.put(claim.key(), held);
            byAttempt.put(claim.attempt(), held);
        }
        return acquired || holder.attempt().equals(claim.attempt());
    }

    private void removeExpired() {
        var oldest = byAttempt.values().iterator();
        while (oldest.hasNext()) {
            Held held = oldest.next();
            if (held.atMillis() > latestLogMillis - retentionMillis) {
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
     * When this process read the claim that holds a key.
     *
     * @param key the key
     * @return milliseconds by its own clock, 0 if the key is not held
     */
    public long seenMillis(String key) {
        return Optional.ofNullable(holders.get(key)).map(Held::seenMillis).orElse(0L);
    }

    /**
     * The number of held keys.
     *
     * @return the count
     */
    public int size() {
        return holders.size();
    }
}
