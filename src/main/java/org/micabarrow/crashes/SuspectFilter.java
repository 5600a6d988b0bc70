package org.micabarrow.crashes;

import java.util.Set;
import java.util.stream.Collectors;

/**
 * Rules out most requests without the lock of the {@link CrashRegistry} that published it.
 *
 * @param quickDigests the quick digests of all requests that were in flight at a crash
 * @param involvedParts the parts of prompts that were in flight at a crash
 * @param suspectParts those of them that may be isolated or refused
 */
record SuspectFilter(Set<Integer> quickDigests, Set<PromptPart> involvedParts, Set<PromptPart> suspectParts) {

    static final SuspectFilter NONE = new SuspectFilter(Set.of(), Set.of(), Set.of());

    /** Creates the filter of all involved causes and the suspected ones among them. */
    static SuspectFilter of(Set<Cause> involved, Set<Cause> suspects) {
        return new SuspectFilter(
                involved.stream()
                        .filter(RequestDigest.class::isInstance)
                        .map(cause -> ((RequestDigest) cause).quick())
                        .collect(Collectors.toUnmodifiableSet()),
                parts(involved),
                parts(suspects));
    }

    private static Set<PromptPart> parts(Set<Cause> causes) {
        return causes.stream()
                .filter(PromptPart.class::isInstance)
                .map(PromptPart.class::cast)
                .collect(Collectors.toUnmodifiableSet());
    }

    boolean isEmpty() {
        return quickDigests.isEmpty() && involvedParts.isEmpty();
    }

    boolean mayBeInvolved(RequestCauses request) {
        return containsDigest(request) || holdsAny(request, involvedParts);
    }

    boolean mayBeSuspect(RequestCauses request) {
        return containsDigest(request) || holdsAny(request, suspectParts);
    }

    /** Returns whether a request that was in flight at a crash has the same quick digest. */
    boolean containsDigest(RequestCauses request) {
        return !quickDigests.isEmpty() && quickDigests.contains(request.quick());
    }

    private static boolean holdsAny(RequestCauses request, Set<PromptPart> parts) {
        return !parts.isEmpty() && request.parts().stream().anyMatch(parts::contains);
    }
}
