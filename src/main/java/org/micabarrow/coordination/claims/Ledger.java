package org.micabarrow.coordination.claims;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The requests that must not be repeated, as recorded by one agent process: which keys it has started, which it has
 * refused permanently, and the responses that are still stored. A key is started at most once.
 *
 * <p>A key is removed only after the latest start time of its claim has passed, so that a delayed attempt cannot start
 * again. Thread-safe.
 *
 * <pre>{@code
 * Ledger.Start start = ledger.start(claim, clock.millis());
 * }</pre>
 */
public final class Ledger {

    private final String epoch;
    private final int capacity;
    private final long maxResponseBytes;
    private final long retentionMillis;
    private final LinkedHashMap<String, Entry> entries = new LinkedHashMap<>();
    private long storedBytes;

    /**
     * Creates an empty ledger.
     *
     * @param epoch the agent process that it belongs to
     * @param capacity the maximum number of keys; further new keys are refused
     * @param maxResponseBytes the maximum total size of the stored responses, in bytes
     * @param retentionMillis how long a key is kept after the latest start time of its claim, in milliseconds
     */
    public Ledger(String epoch, int capacity, long maxResponseBytes, long retentionMillis) {
        this.epoch = Objects.requireNonNull(epoch, "epoch is null");
        this.capacity = capacity;
        this.maxResponseBytes = maxResponseBytes;
        this.retentionMillis = retentionMillis;
    }

    /** Whether a request may start in this process. */
    public sealed interface Start {

        /** It may start now; the key cannot start again. */
        record Run() implements Start {}

        /**
         * It is refused permanently.
         *
         * @param why a human-readable reason
         */
        record Refused(String why) implements Start {}

        /** It has started and has not ended. */
        record Running() implements Start {}

        /**
         * It has ended.
         *
         * @param response its response, if that is still stored
         */
        record Done(Optional<StoredResponse> response) implements Start {}
    }

    /**
     * A stored response.
     *
     * @param status the HTTP status
     * @param contentType the content type of the body
     * @param body the body
     */
    public record StoredResponse(int status, String contentType, byte[] body) {}

    /** The state of a key. */
    public enum KeyState {
        REFUSED,
        RUNNING,
        DONE
    }

    /** The entry of a key. */
    private record Entry(KeyState state, long latestStartMillis, Optional<StoredResponse> response) {}

    /**
     * Decides whether a claimed request starts now.
     *
     * @param claim the claim of the request
     * @param nowMillis the current time
     * @return the decision
     */
    public synchronized Start start(Claim claim, long nowMillis) {
        Objects.requireNonNull(claim, "claim is null");
        removeExpired(nowMillis);
        if (!claim.epoch().equals(epoch)) {
            return new Start.Refused("the claim names another process of this instance");
        }
        Entry entry = entries.get(claim.key());
        if (entry != null) {
            return switch (entry.state()) {
                case REFUSED -> new Start.Refused("the key was refused here for good");
                case RUNNING -> new Start.Running();
                case DONE -> new Start.Done(entry.response());
            };
        }
        if (nowMillis > claim.latestStartMillis()) {
            return new Start.Refused("the latest start has passed");
        }
        if (entries.size() >= capacity) {
            return new Start.Refused("the ledger is full");
        }
        entries.put(claim.key(), new Entry(KeyState.RUNNING, claim.latestStartMillis(), Optional.empty()));
        return new Start.Run();
    }

    /**
     * Refuses a key permanently unless it has started, and returns its state.
     *
     * @param key the key
     * @param latestStartMillis the latest time at which an attempt with this key may start
     * @param nowMillis the current time
     * @return the final or current state of the key, with the stored response if there is one
     */
    public synchronized Settlement settle(String key, long latestStartMillis, long nowMillis) {
        removeExpired(nowMillis);
        Entry entry = entries.computeIfAbsent(
                key, missing -> new Entry(KeyState.REFUSED, latestStartMillis, Optional.empty()));
        return new Settlement(entry.state(), entry.response());
    }

    /**
     * The settled state of a key.
     *
     * @param state its state
     * @param response its response, if it has ended and the response is stored
     */
    public record Settlement(KeyState state, Optional<StoredResponse> response) {}

    /**
     * Records that a started request has ended.
     *
     * @param key the key
     * @param response the response, empty if there is no complete one
     */
    public synchronized void recordEnd(String key, Optional<StoredResponse> response) {
        Entry entry = entries.get(key);
        if (entry == null || entry.state() != KeyState.RUNNING) {
            return;
        }
        Optional<StoredResponse> stored = response.filter(value -> value.body().length <= maxResponseBytes);
        storedBytes += stored.map(value -> value.body().length).orElse(0);
        entries.put(key, new Entry(KeyState.DONE, entry.latestStartMillis(), stored));
        evictOldResponses();
    }

    /**
     * Records that a started request never reached the endpoint. The key is refused permanently.
     *
     * @param key the key
     */
    public synchronized void recordNotRun(String key) {
        entries.computeIfPresent(
                key, (same, entry) -> new Entry(KeyState.REFUSED, entry.latestStartMillis(), Optional.empty()));
    }

    /** Evicts the oldest responses. Their keys stay recorded as done. */
    private void evictOldResponses() {
        Iterator<Map.Entry<String, Entry>> oldest = entries.entrySet().iterator();
        while (storedBytes > maxResponseBytes && oldest.hasNext()) {
            Map.Entry<String, Entry> keyed = oldest.next();
            storedBytes -= keyed.getValue()
                    .response()
                    .map(value -> value.body().length)
                    .orElse(0);
            keyed.setValue(new Entry(keyed.getValue().state(), keyed.getValue().latestStartMillis(), Optional.empty()));
        }
    }

    private void removeExpired(long nowMillis) {
        Map<String, Entry> expiredEntries = new HashMap<>();
        for (Map.Entry<String, Entry> keyed : entries.entrySet()) {
            boolean expired = keyed.getValue().latestStartMillis() + retentionMillis < nowMillis;
            if (!expired) {
                break;
            }
            if (keyed.getValue().state() != KeyState.RUNNING) {
                expiredEntries.put(keyed.getKey(), keyed.getValue());
            }
        }
        expiredEntries.forEach((key, entry) -> {
            storedBytes -= entry.response().map(value -> value.body().length).orElse(0);
            entries.remove(key);
        });
    }

    /**
     * The number of recorded keys.
     *
     * @return the count
     */
    public synchronized int size() {
        return entries.size();
    }
}
