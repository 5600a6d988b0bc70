package org.micabarrow.weights;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.micabarrow.weights.OverlapSimulation.Member;
import org.micabarrow.weights.OverlapSimulation.Policy;

/**
 * Policies for the order in which two versions are fetched: the real one, and simple ones of which the best is known
 * only afterwards.
 */
final class SimulationPolicies {

    private static final long GRID_MILLIS = 3_000;
    private static final long LAST_MILLIS = 12_000;

    private SimulationPolicies() {}

    /** The real policy, as {@link VersionFetches} applies it. */
    static Policy real() {
        return member -> {
            long held = member.held();
            long newest = member.newest();
            if (member.progress.isPresent() && !goesOn(member, held)) {
                end(member, held, newest);
            }
            if (member.progress.isEmpty()) {
                OptionalLong older = member.fetches.overlapPolicy().olderToFetch("m", held);
                long version = member.onOlder && older.isPresent() ? older.getAsLong() : newest;
                member.onOlder = version != newest;
                if (member.set(version).isComplete()) {
                    return 0;
                }
                member.progress = Optional.of(member.fetches.startProgress(member.set(version)));
            }
            return member.progress.orElseThrow().set().version();
        };
    }

    private static boolean goesOn(Member member, long held) {
        FetchProgress progress = member.progress.orElseThrow();
        long version = progress.set().version();
        Predicate<FetchProgress> wanted = member.onOlder
                ? member.fetches.shouldContinueOlder("m", held, version)
                : member.fetches.shouldContinueNewest("m", held, version);
        return !progress.set().isComplete() && version > held && wanted.test(progress);
    }

    private static void end(Member member, long held, long newest) {
        FetchProgress progress = member.progress.orElseThrow();
        boolean wasNewest = progress.set().version() == newest;
        boolean turns = progress.fetchedCount() == 0 || member.fetches.overlapPolicy().prefersOlder("m", held);
        member.fetches.overlapPolicy().onFetchEnded(progress);
        member.onOlder = !member.onOlder && wasNewest && !progress.set().isComplete() && turns;
        member.progress = Optional.empty();
    }

    /**
     * Simple policies that do not depend on the day. The best of them for a day approximates a policy that knows all
     * its events.
     */
    static List<Policy> plain() {
        List<Policy> all = new ArrayList<>(List.of(SimulationPolicies::newest, SimulationPolicies::olderFirst));
        for (long turn = GRID_MILLIS; turn <= LAST_MILLIS; turn += GRID_MILLIS) {
            long at = turn;
            all.add(member -> member.sinceSecondNamed() < at ? olderFirst(member) : newest(member));
            all.add(member -> member.sinceSecondNamed() < at ? newest(member) : olderFirst(member));
        }
        return all;
    }

    private static long newest(Member member) {
        return member.set(member.newest()).isComplete() ? 0 : member.newest();
    }

    private static long olderFirst(Member member) {
        OptionalLong older = member.fetches.overlapPolicy().olderToFetch("m", member.held());
        return older.isPresent() ? older.getAsLong() : newest(member);
    }
}
