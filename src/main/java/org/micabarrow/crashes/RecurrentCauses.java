package org.micabarrow.crashes;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The causes that were involved in endpoint crashes again and again without any part of a response since. They are
 * judged by all of their crashes, including those that another poison cause explains: where several poison causes crash
 * the same endpoints, attributing each crash to one of them leaves too few to the others. Parts of prompts that
 * endpoints have answered on are not among them.
 */
final class RecurrentCauses {

    /** Time between the first and the last crash of a recurrent cause, in milliseconds: longer than the retries of one attempt. */
    private static final long MIN_SPAN_MILLIS = 2_000;

    /** Time after a crash until all processes know of it and of all requests involved, in milliseconds. */
    static final long REPORT_DELAY_MILLIS = 200;

    /** Time between two crashes that are independent evidence, in milliseconds: roughly the duration of a request. */
    private static final long INDEPENDENT_MILLIS = 1_000;

    /** Minimum number of crashes of a poison cause if two of them are sole and independent. */
    private static final int MIN_CRASHES_WITH_TWO_SOLE = 4;

    /** Minimum number of crashes of a poison cause if one of them is sole. */
    private static final int MIN_CRASHES_WITH_ONE_SOLE = 5;

    /** Number of crashes that suffices on its own. */
    private static final int MIN_CRASHES_WITHOUT_SOLE = 6;

    private final Map<Cause, Set<String>> recurrent = new HashMap<>();
    private final CrashEvidence evidence;
    private final CompetingCauses competing;
    private final long nowMillis;

    /**
     * Creates a view of the known crashes.
     *
     * @param evidence for each cause, the crashes since any part of a response to it
     * @param nowMillis the time on the monotonic clock
     */
    RecurrentCauses(CrashEvidence evidence, long nowMillis) {
        this.evidence = Objects.requireNonNull(evidence, "evidence is null");
        this.nowMillis = nowMillis;
        evidence.crashes().forEach((cause, crashes) -> {
            if (isRecurrent(cause, crashes)) {
                recurrent.put(cause, crashes);
            }
        });
        this.competing = new CompetingCauses(evidence, recurrent);
    }

    private boolean isRecurrent(Cause cause, Set<String> crashes) {
        return crashes.size() > 1
                && evidence.spanMillis(crashes) >= MIN_SPAN_MILLIS
                && !(cause instanceof PromptPart part
                        && (evidence.answeredParts().contains(part) || evidence.isNarrowedToOneRequest(part, crashes)));
    }

    /**
     * Returns the causes whose crashes prove that they bring them about.
     *
     * @return the causes
     */
    Set<Cause> poison() {
        return recurrent.entrySet().stream()
                .filter(entry -> entry.getValue().size() >= MIN_CRASHES_WITH_TWO_SOLE)
                .filter(entry -> isPoison(entry.getKey(), entry.getValue()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns those of the given poison causes whose crashes are all explained by others of them. A cause explains a
     * crash if it was involved in it and is the only recurrent cause that was involved in another one.
     *
     * @param poison the causes that are considered poison
     * @return those that are not proven to be poison any more
     */
    Set<Cause> explainedByOthers(Set<Cause> poison) {
        Set<String> explained = poison.stream()
                .filter(cause -> !soleMillis(cause).isEmpty())
                .map(evidence.crashes()::get)
                .flatMap(Set::stream)
                .collect(Collectors.toUnmodifiableSet());
        return poison.stream()
                .filter(cause ->
                        recurrent.containsKey(cause) && soleMillis(cause).isEmpty())
                .filter(cause -> explained.containsAll(evidence.crashes().get(cause)))
                .collect(Collectors.toUnmodifiableSet());
    }

    private boolean isPoison(Cause cause, Set<String> crashes) {
        List<Long> sole = soleMillis(cause);
        return crashes.size() >= MIN_CRASHES_WITHOUT_SOLE
                || crashes.size() >= MIN_CRASHES_WITH_ONE_SOLE && !sole.isEmpty()
                || !sole.isEmpty() && sole.getLast() - sole.getFirst() >= INDEPENDENT_MILLIS;
    }

    /**
     * Returns the times of a cause's crashes in which no competing recurrent cause was involved, in ascending order.
     */
    private List<Long> soleMillis(Cause cause) {
        return evidence.crashes().get(cause).stream()
                .filter(crash -> competing.isSole(cause, crash))
                .map(evidence.times()::get)
                .filter(millis -> nowMillis - millis >= REPORT_DELAY_MILLIS)
                .sorted()
                .toList();
    }
}
