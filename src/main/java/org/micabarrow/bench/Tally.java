package org.micabarrow.bench;

import java.util.Locale;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts how requests ended, and what must never happen. */
final class Tally {

    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger notRun = new AtomicInteger();
    private final AtomicInteger unknown = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger doubled = new AtomicInteger();
    private final AtomicInteger wrongVersion = new AtomicInteger();
    private final AtomicInteger outsidePlacement = new AtomicInteger();

    /** Counts a request to a model, whose answer must carry one fingerprint and come from certain halls. */
    void model(Caller.Seen seen, Set<String> fingerprints, Set<String> halls) {
        count(seen, halls);
        if (seen.ending() == Caller.Ending.ANSWERED && !hasOneOf(seen.text(), fingerprints)) {
            wrongVersion.incrementAndGet();
        }
    }

    private static boolean hasOneOf(String text, Set<String> fingerprints) {
        return fingerprints.stream().filter(text::contains).count() == 1;
    }

    /** Counts a request whose answer must come from certain halls. */
    void count(Caller.Seen seen, Set<String> halls) {
        requests.incrementAndGet();
        switch (seen.ending()) {
            case ANSWERED -> answered.incrementAndGet();
            case NOT_RUN -> notRun.incrementAndGet();
            case UNKNOWN -> unknown.incrementAndGet();
            case LOST -> lost.incrementAndGet();
        }
        if (seen.ending() == Caller.Ending.ANSWERED && !halls.contains(seen.hall())) {
            outsidePlacement.incrementAndGet();
        }
    }

    /** Counts runs beyond the first. */
    void runs(int count) {
        doubled.addAndGet(Math.max(0, count - 1));
    }

    boolean clean() {
        return lost.get() + doubled.get() + wrongVersion.get() + outsidePlacement.get() == 0;
    }

    /** The counts as fields of a JSON object. */
    String json() {
        return String.format(
                Locale.ROOT,
                "\"requests\":%d,\"answered\":%d,\"not_run\":%d,\"unknown\":%d,\"lost\":%d,\"doubled\":%d,"
                        + "\"wrong_version\":%d,\"outside_placement\":%d",
                requests.get(),
                answered.get(),
                notRun.get(),
                unknown.get(),
                lost.get(),
                doubled.get(),
                wrongVersion.get(),
                outsidePlacement.get());
    }
}
