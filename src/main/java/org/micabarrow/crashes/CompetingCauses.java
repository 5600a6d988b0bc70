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

    private boolean competes(Cause other, Cause cause) {
        return switch (cause) {
            case RequestDigest request ->
                !(other instanceof PromptPart part)
                        || !evidence.holds(request, part)
                        || suspects.get(part).size()
                                > suspects.getOrDefault(request, Set.of()).size();
            case PromptPart part -> competesWithPart(other, part);
        };
    }

    /**
     * A part explains the crashes of all requests that hold it, and the crashes of other suspects if it was involved in
     * more than these. Parts that were involved in the same crashes are judged together. A part that endpoints have
     * answered on has no such precedence.
     */
    private boolean competesWithPart(Cause other, PromptPart part) {
        if (other instanceof RequestDigest request && evidence.holds(request, part)) {
            return false;
        }
        if (evidence.answeredParts().contains(part)) {
            return true;
        }
        if (evidence.answeredParts().contains(other)) {
            return false;
        }
        Set<String> own = suspects.getOrDefault(part, Set.of());
        Set<String> others = suspects.get(other);
        return !own.containsAll(others) || others.size() == own.size() && other instanceof RequestDigest;
    }
}
