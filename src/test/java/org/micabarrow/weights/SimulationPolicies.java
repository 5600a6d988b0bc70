package org.micabarrow.weights;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.micabarrow.weights.OverlapSimulation.Policy;
import org.micabarrow.weights.OverlapSimulation.SimulatedAgent;

/**
 * Policies for the order in which two versions are fetched: the real one, and simple ones of which the best is known
 * only afterwards.
 */
final class SimulationPolicies {

    private static final long SWITCH_INTERVAL_MILLIS = 3_000;
    private static final long LAST_SWITCH_MILLIS = 12_000;

    private SimulationPolicies() {}

    /** The real policy, as {@link VersionFetches} applies it. */
    static Policy real() {
        return agent -> {
            long held = agent.held();
            long newest = agent.newest();
            if (agent.progress.isPresent() && !shouldContinue(agent, held)) {
                endFetch(agent, held, newest);
            }
            if (agent.progress.isEmpty()) {
                OptionalLong older = agent.fetches.overlapPolicy().olderToFetch("m", held);
                long version = agent.fetchingOlder && older.isPresent() ? older.getAsLong() : newest;
                agent.fetchingOlder = version != newest;
                if (agent.set(version).isComplete()) {
                    return 0;
                }
                agent.progress = Optional.of(agent.fetches.startProgress(agent.set(version)));
            }
            return agent.progress.orElseThrow().set().version();
        };
    }

    private static boolean shouldContinue(SimulatedAgent agent, long held) {
        FetchProgress progress = agent.progress.orElseThrow();
        long version = progress.set().version();
        Predicate<FetchProgress> wanted = agent.fetchingOlder
                ? agent.fetches.shouldContinueOlder("m", held, version)
                : agent.fetches.shouldContinueNewest("m", held, version);
        return !progress.set().isComplete() && version > held && wanted.test(progress);
    }

    private static void endFetch(SimulatedAgent agent, long held, long newest) {
        FetchProgress progress = agent.progress.orElseThrow();
        boolean wasNewest = progress.set().version() == newest;
        boolean switches =
                progress.fetchedCount() == 0 || agent.fetches.overlapPolicy().prefersOlder("m", held);
        agent.fetches.overlapPolicy().onFetchEnded(progress);
        agent.fetchingOlder =
                !agent.fetchingOlder && wasNewest && !progress.set().isComplete() && switches;
        agent.progress = Optional.empty();
    }

    /**
     * Simple policies that do not depend on the day. The best of them for a day approximates a policy that knows all
     * its events.
     */
    static List<Policy> simple() {
        List<Policy> policies = new ArrayList<>(List.of(SimulationPolicies::newest, SimulationPolicies::olderFirst));
        for (long switchMillis = SWITCH_INTERVAL_MILLIS;
                switchMillis <= LAST_SWITCH_MILLIS;
                switchMillis += SWITCH_INTERVAL_MILLIS) {
            long at = switchMillis;
            policies.add(agent -> agent.sinceSecondNamed() < at ? olderFirst(agent) : newest(agent));
            policies.add(agent -> agent.sinceSecondNamed() < at ? newest(agent) : olderFirst(agent));
        }
        return policies;
    }

    private static long newest(SimulatedAgent agent) {
        return agent.set(agent.newest()).isComplete() ? 0 : agent.newest();
    }

    private static long olderFirst(SimulatedAgent agent) {
        OptionalLong older = agent.fetches.overlapPolicy().olderToFetch("m", agent.held());
        return older.isPresent() ? older.getAsLong() : newest(agent);
    }
}
