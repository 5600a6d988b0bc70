package org.micabarrow.bench;

import java.util.Locale;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts request outcomes and violations of the guarantees: lost requests, duplicate runs, wrong versions and answers
 * from outside the placement.
 */
final class OutcomeCounts {

    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger notRun = new AtomicInteger();
    private final AtomicInteger unknown = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger duplicateRuns = new AtomicInteger();
    private final AtomicInteger wrongVersion = new AtomicInteger();
    private final AtomicInteger outsidePlacement = new AtomicInteger();

    /**
     * Counts a model request; its answer must contain exactly one of the fingerprints and come from one of the halls.
     */
    void countModelRequest(ClientCalls.Response response, Set<String> fingerprints, Set<String> halls) {
        countRequest(response, halls);
        if (response.outcome() == ClientCalls.Outcome.ANSWERED && !containsExactlyOne(response.text(), fingerprints)) {
            wrongVersion.incrementAndGet();
        }
    }

    private static boolean containsExactlyOne(String text, Set<String> fingerprints) {
        return fingerprints.stream().filter(text::contains).count() == 1;
    }

    /** Counts a request; its answer must come from one of the halls. */
    void countRequest(ClientCalls.Response response, Set<String> halls) {
        requests.incrementAndGet();
        switch (response.outcome()) {
            case ANSWERED -> answered.incrementAndGet();
            case NOT_RUN -> notRun.incrementAndGet();
            case UNKNOWN -> unknown.incrementAndGet();
            case LOST -> lost.incrementAndGet();
        }
        if (response.outcome() == ClientCalls.Outcome.ANSWERED && !halls.contains(response.hall())) {
            outsidePlacement.incrementAndGet();
        }
    }

    /** Counts executions of a request beyond the first. */
    void countDuplicateRuns(int executions) {
        duplicateRuns.addAndGet(Math.max(0, executions - 1));
    }

    boolean hasNoViolations() {
        return lost.get() + duplicateRuns.get() + wrongVersion.get() + outsidePlacement.get() == 0;
    }

    /** Formats the counts as the fields of a JSON object, without braces. */
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
                duplicateRuns.get(),
                wrongVersion.get(),
                outsidePlacement.get());
    }
}
