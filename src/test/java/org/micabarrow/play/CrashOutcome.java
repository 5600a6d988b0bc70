package org.micabarrow.play;

import java.util.HashMap;
import java.util.Map;
import org.micabarrow.crashes.PromptPart;

/** What came of a play of crashes. */
final class CrashOutcome {
    int harmless;
    int harmlessRefused;
    int harmlessWaitedInVain;
    int harmlessIsolatedInVain;
    int harmlessServed;
    int harmlessLate;
    int harmlessLateBegun;
    int convicted;
    double slowestMillis;
    final Map<String, Integer> endedByMore = new HashMap<>();
    final Map<PromptPart, Integer> endedByPart = new HashMap<>();
    final Map<PromptPart, Integer> sentLate = new HashMap<>();

    int mostEndedByMore() {
        return endedByMore.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }
}
