package org.micabarrow.crashes;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The requests that were involved in endpoint crashes again and again without any part of a response since. They are
 * judged by all of their crashes, including those that another poison request explains: where several poison requests
 * crash the same endpoints, attributing each crash to one of them leaves too few to the others.
 */
final class RecurrentRequests {

    /** Time between the first and the last crash of a recurrent request, in milliseconds: longer than the retries of one attempt. */
    private static final long MIN_SPAN_MILLIS = 2_000;

    /** Time after a crash until all processes know of it and of all requests involved, in milliseconds. */
    static final long REPORT_DELAY_MILLIS = 200;

    /** Time between two crashes that are independent evidence, in milliseconds: roughly the duration of a request. */
    private static final long INDEPENDENT_MILLIS = 1_000;

    /** Minimum number of crashes of a poison request if two of them are sole and independent. */
    private static final int MIN_CRASHES_WITH_TWO_SOLE = 4;

    /** Minimum number of crashes of a poison request if one of them is sole. */
    private static final int MIN_CRASHES_WITH_ONE_SOLE = 5;

    /** Number of crashes that suffices on its own. */
    private static final int MIN_CRASHES_WITHOUT_SOLE = 6;

    private final Map<RequestDigest, Set<String>> crashes;
    private final Map<String, Long> times;
    private final long nowMillis;

    /** For each crash, the number of recurrent requests that were involved in it. */
    private final Map<String, Integer> requestsPerCrash = new HashMap<>();

    /**
     * Creates a view of the known crashes.
     *
     * @param crashes for each request, the crashes since any part of a response to it
     * @param times the time of each crash on the monotonic clock, in milliseconds
     * @param nowMillis the time on the monotonic clock
     */
    RecurrentRequests(Map<RequestDigest, Set<String>> crashes, Map<String, Long> times, long nowMillis) {
        this.crashes = Objects.requireNonNull(crashes, "crashes is null");
        this.times = Objects.requireNonNull(times, "times is null");
        this.nowMillis = nowMillis;
        crashes.values().stream()
                .filter(this::recurrent)
                .forEach(own -> own.forEach(crash -> requestsPerCrash.merge(crash, 1, Integer::sum)));
    }

    private boolean recurrent(Set<String> own) {
        return own.size() > 1
                && spanMillis(own.stream().map(times::get).sorted().toList()) >= MIN_SPAN_MILLIS;
    }

    private static long spanMillis(List<Long> sorted) {
        return sorted.isEmpty() ? 0 : sorted.getLast() - sorted.getFirst();
    }

    /**
     * Returns the requests whose crashes prove that they cause them.
     *
     * @return their digests
     */
    Set<RequestDigest> poison() {
        return crashes.entrySet().stream()
                .filter(entry -> entry.getValue().size() >= MIN_CRASHES_WITH_TWO_SOLE)
                .filter(entry -> recurrent(entry.getValue()) && isPoison(entry.getValue()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns those of the given poison requests whose crashes are all explained by others of them. A request explains a
     * crash if it was involved in it and is the only recurrent request that was involved in another one.
     *
     * @param poison the requests that are considered poison
     * @return the digests of the requests that are not proven to be poison any more
     */
    Set<RequestDigest> explainedByOthers(Set<RequestDigest> poison) {
        Set<String> explained = poison.stream()
                .map(crashes::get)
                .filter(own -> !soleMillis(own).isEmpty())
                .flatMap(Set::stream)
                .collect(Collectors.toUnmodifiableSet());
        return poison.stream()
                .filter(request -> soleMillis(crashes.get(request)).isEmpty())
                .filter(request -> explained.containsAll(crashes.get(request)))
                .collect(Collectors.toUnmodifiableSet());
    }

    private boolean isPoison(Set<String> own) {
        List<Long> sole = soleMillis(own);
        return own.size() >= MIN_CRASHES_WITHOUT_SOLE
                || own.size() >= MIN_CRASHES_WITH_ONE_SOLE && !sole.isEmpty()
                || spanMillis(sole) >= INDEPENDENT_MILLIS;
    }

    /**
     * Returns the times of a recurrent request's crashes in which no other recurrent request was involved, in ascending
     * order.
     */
    private List<Long> soleMillis(Set<String> own) {
        return own.stream()
                .filter(crash -> requestsPerCrash.get(crash) == 1)
                .map(times::get)
                .filter(millis -> nowMillis - millis >= REPORT_DELAY_MILLIS)
                .sorted()
                .toList();
    }
}
