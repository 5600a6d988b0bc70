package org.micabarrow.crashes;

import java.util.Map;
import java.util.Set;

/**
 * The known crashes, by the possible causes that were involved in them.
 *
 * @param crashes the crashes that count against each cause
 * @param partlyAnswered the causes to which a part of a response has arrived since the first of these crashes
 * @param answeredParts the parts of prompts on which endpoints have answered at any time
 * @param times the time of each crash on the monotonic clock, in milliseconds
 * @param parts the shared parts of the prompts of the requests involved
 */
record CrashEvidence(
        Map<Cause, Set<String>> crashes,
        Set<Cause> partlyAnswered,
        Set<Cause> answeredParts,
        Map<String, Long> times,
        Map<RequestDigest, Set<PromptPart>> parts) {

    /** Returns whether a request is known to hold a part. */
    boolean holds(RequestDigest request, PromptPart part) {
        return parts.getOrDefault(request, Set.of()).contains(part);
    }

    /**
     * Returns whether one request with the part was involved in all of these crashes. The request may then be the cause
     * as well as the part, and is the narrower one.
     */
    boolean isNarrowedToOneRequest(PromptPart part, Set<String> involved) {
        return crashes.entrySet().stream()
                .filter(entry -> entry.getValue().size() >= involved.size())
                .anyMatch(entry -> entry.getKey() instanceof RequestDigest request
                        && holds(request, part)
                        && entry.getValue().containsAll(involved));
    }

    /** Returns the time from the first to the last of some crashes, in milliseconds. */
    long spanMillis(Set<String> some) {
        long first = Long.MAX_VALUE;
        long last = Long.MIN_VALUE;
        for (String crash : some) {
            first = Math.min(first, times.get(crash));
            last = Math.max(last, times.get(crash));
        }
        return some.isEmpty() ? 0 : last - first;
    }
}
