package org.micabarrow.coordination.claims;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * What one process of an agent knows of the requests that may not be repeated: which it has started, which it has
 * refused for good, and the answers it still keeps. A key is started at most once.
 *
 * <p>A key is forgotten only after the latest start of its claim has passed, so that a delayed attempt cannot start
 * again. Safe for any number of threads.
 *
 * <pre>{@code
 * Ledger.Start start = ledger.start(claim, clock.millis());
 * }</pre>
 */
public final class Ledger {

    private final String epoch;
    private final int capacity;
    private final long answerBytes;
    private final long keptMillis;
    private final LinkedHashMap<String, Entry> entries = new LinkedHashMap<>();
    private long bytesKept;

    /**
     * Makes an empty ledger.
     *
     * @param epoch the process that it belongs to
     * @param capacity how many keys it holds; beyond that new keys are refused
     * @param answerBytes how many bytes of answers it keeps
     * @param keptMillis how long it keeps a key after its latest start
     */
    public Ledger(String epoch, int capacity, long answerBytes, long keptMillis) {
        this.epoch = Objects.requireNonNull(epoch, "epoch is null");
        this.capacity = capacity;
        this.answerBytes = answerBytes;
        this.keptMillis = keptMillis;
    }

    /** Whether a request may start here. */
    public sealed interface Start {

        /** It may, now and never again. */
        record Run() implements Start {}

        /**
         * It may not, for good.
         *
         * @param why a sentence for a person
         */
        record Refused(String why) implements Start {}

        /** It has been started and has not ended. */
        record Running() implements Start {}

        /**
         * It has ended.
         *
         * @param answer its answer, if that is still kept
         */
        record Done(Optional<Answer> answer) implements Start {}
    }

    /**
     * A kept answer.
     *
     * @param status the HTTP status
     * @param contentType the type of the body
     * @param body the body
     */
    public record Answer(int status, String contentType, byte[] body) {}

    /** What became of a key. */
    public enum Fate {
        REFUSED,
        RUNNING,
        DONE
    }

    /** A key's entry. */
    private record Entry(Fate fate, long latestStartMillis, Optional<Answer> answer) {}

    /**
     * Decides whether a claimed request starts now.
     *
     * @param claim the claim under which it came
     * @param nowMillis the time
     * @return what to do
     */
    public synchronized Start start(Claim claim, long nowMillis) {
        Objects.requireNonNull(claim, "claim is null");
        forget(nowMillis);
        if (!claim.epoch().equals(epoch)) {
            return new Start.Refused("the claim names another process of this instance");
        }
        Entry entry = entries.get(claim.key());
        if (entry != null) {
            return switch (entry.fate()) {
                case REFUSED -> new Start.Refused("the key was refused here for good");
                case RUNNING -> new Start.Running();
                case DONE -> new Start.Done(entry.answer());
            };
        }
        if (nowMillis > claim.latestStartMillis()) {
            return new Start.Refused("the latest start has passed");
        }
        if (entries.size() >= capacity) {
            return new Start.Refused("the ledger is full");
        }
        entries.put(claim.key(), new Entry(Fate.RUNNING, claim.latestStartMillis(), Optional.empty()));
        return new Start.Run();
    }

    /**
     * Refuses a key for good unless it has started, and tells what became of it.
     *
     * @param key the key
     * @param latestStartMillis until when an attempt might still come
     * @param nowMillis the time
     * @return the key's fate from now on, with the answer if there is one
     */
    public synchronized Settled settle(String key, long latestStartMillis, long nowMillis) {
        forget(nowMillis);
        Entry entry =
                entries.computeIfAbsent(key, missing -> new Entry(Fate.REFUSED, latestStartMillis, Optional.empty()));
        return new Settled(entry.fate(), entry.answer());
    }

    /**
     * What became of a key.
     *
     * @param fate its fate
     * @param answer its answer, if it has ended and the answer is kept
     */
    public record Settled(Fate fate, Optional<Answer> answer) {}

    /**
     * Notes that a started request has ended.
     *
     * @param key the key
     * @param answer the answer, empty if there was none that is whole
     */
    public synchronized void ended(String key, Optional<Answer> answer) {
        Entry entry = entries.get(key);
        if (entry == null || entry.fate() != Fate.RUNNING) {
            return;
        }
        Optional<Answer> kept = answer.filter(one -> one.body().length <= answerBytes);
        bytesKept += kept.map(one -> one.body().length).orElse(0);
        entries.put(key, new Entry(Fate.DONE, entry.latestStartMillis(), kept));
        dropOldAnswers();
    }

    /**
     * Notes that a request which was let start never reached the endpoint; it is refused for good.
     *
     * @param key the key
     */
    public synchronized void neverRan(String key) {
        entries.computeIfPresent(
                key, (same, entry) -> new Entry(Fate.REFUSED, entry.latestStartMillis(), Optional.empty()));
    }

    /** Lets the oldest answers go, but not the knowledge that their keys have run. */
    private void dropOldAnswers() {
        Iterator<Map.Entry<String, Entry>> oldest = entries.entrySet().iterator();
        while (bytesKept > answerBytes && oldest.hasNext()) {
            Map.Entry<String, Entry> one = oldest.next();
            bytesKept -=
                    one.getValue().answer().map(answer -> answer.body().length).orElse(0);
            one.setValue(new Entry(one.getValue().fate(), one.getValue().latestStartMillis(), Optional.empty()));
        }
    }

    private void forget(long nowMillis) {
        Map<String, Entry> gone = new HashMap<>();
        for (Map.Entry<String, Entry> one : entries.entrySet()) {
            boolean lapsed = one.getValue().latestStartMillis() + keptMillis < nowMillis;
            if (!lapsed) {
                break;
            }
            if (one.getValue().fate() != Fate.RUNNING) {
                gone.put(one.getKey(), one.getValue());
            }
        }
        gone.forEach((key, entry) -> {
            bytesKept -= entry.answer().map(answer -> answer.body().length).orElse(0);
            entries.remove(key);
        });
    }

    /**
     * The number of keys known.
     *
     * @return the size
     */
    public synchronized int size() {
        return entries.size();
    }
}
