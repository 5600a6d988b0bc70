package org.micabarrow.crashes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Several suspected causes, of which any two that were involved in the same crash compete to explain it. */
final class CompetingCauses {

    private final CrashEvidence evidence;
    private final Map<Cause, Set<String>> suspects;
    private final Map<String, List<Cause>> suspectsByCrash = new HashMap<>();

    /**
     * Creates a view of suspects.
     *
     * @param evidence what is known of them
     * @param suspects the crashes that each of them may explain
     */
    CompetingCauses(CrashEvidence evidence, Map<Cause, Set<String>> suspects) {
        this.evidence = evidence;
        this.suspects = suspects;
        suspects.forEach((cause, crashes) -> crashes.forEach(crash ->
                suspectsByCrash.computeIfAbsent(crash, key -> new ArrayList<>()).add(cause)));
    }

    /** Returns whether no other suspect competes with a cause to explain a crash. */
    boolean isSole(Cause cause, String crash) {
        return suspectsByCrash.getOrDefault(crash, List.of()).stream()
                .noneMatch(other -> !other.equals(cause) && competes(other, cause));
    }

    /**
     * Returns whether another suspect is as good an explanation of a crash as a cause. A part on which endpoints have
     * answered is none beside causes on which none has.
     */
    private boolean competes(Cause other, Cause cause) {
        boolean isAnswered = evidence.answeredParts().contains(cause);
        if (!isAnswered && evidence.answeredParts().contains(other)) {
            return false;
        }
        return switch (cause) {
            case RequestDigest request ->
                !(other instanceof PromptPart part) || !evidence.holds(request, part) || explainsMore(part, request);
            case PromptPart part ->
                !(other instanceof RequestDigest request && evidence.holds(request, part))
                        && (isAnswered || !explainsAllOf(part, other));
        };
    }

    /** Returns whether a part was involved in more crashes than a request that holds it. */
    private boolean explainsMore(PromptPart part, RequestDigest request) {
        return crashes(part).size() > crashes(request).size();
    }

    /**
     * Returns whether a part was involved in all crashes of another cause and in more, or in the same as another part;
     * such parts are judged together.
     */
    private boolean explainsAllOf(PromptPart part, Cause other) {
        boolean hasMore = crashes(part).size() > crashes(other).size();
        return crashes(part).containsAll(crashes(other)) && (hasMore || other instanceof PromptPart);
    }

    private Set<String> crashes(Cause cause) {
        return suspects.getOrDefault(cause, Set.of());
    }
}
