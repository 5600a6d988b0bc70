package org.micabarrow.weights;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.micabarrow.weights.OverlapPlay.Member;
import org.micabarrow.weights.OverlapPlay.Policy;

/** Ways to choose which of two versions is fetched: the real one, and plain ones of which the best is known afterwards. */
final class OverlapPolicies {

    private static final long GRID_MILLIS = 3_000;
    private static final long LAST_MILLIS = 12_000;

    private OverlapPolicies() {}

    /** The real choice, as {@link VersionFetches} follows it. */
    static Policy real() {
        return member -> {
            long held = member.held();
            long newest = member.newest();
            if (member.progress.isPresent() && !goesOn(member, held)) {
                end(member, held, newest);
            }
            if (member.progress.isEmpty()) {
                OptionalLong older = member.fetches.overlap().olderNeeded("m", held);
                long version = member.onOlder && older.isPresent() ? older.getAsLong() : newest;
                member.onOlder = version != newest;
                if (member.set(version).complete()) {
                    return 0;
                }
                member.progress = Optional.of(member.fetches.begins(member.set(version)));
            }
            return member.progress.orElseThrow().set().version();
        };
    }

    private static boolean goesOn(Member member, long held) {
        FetchProgress progress = member.progress.orElseThrow();
        long version = progress.set().version();
        Predicate<FetchProgress> wanted = member.onOlder
                ? member.fetches.olderWanted("m", held, version)
                : member.fetches.newestWanted("m", held, version);
        return !progress.set().complete() && version > held && wanted.test(progress);
    }

    private static void end(Member member, long held, long newest) {
        FetchProgress progress = member.progress.orElseThrow();
        boolean wasNewest = progress.set().version() == newest;
        boolean turns = progress.came() == 0 || member.fetches.overlap().choseOlder("m", held);
        member.fetches.overlap().ended(progress);
        member.onOlder = !member.onOlder && wasNewest && !progress.set().complete() && turns;
        member.progress = Optional.empty();
    }

    /** Ways that need no knowledge of the day; the best of them for a day is what one who knows all of it would take. */
    static List<Policy> plain() {
        List<Policy> all = new ArrayList<>(List.of(OverlapPolicies::newest, OverlapPolicies::olderFirst));
        for (long turn = GRID_MILLIS; turn <= LAST_MILLIS; turn += GRID_MILLIS) {
            long at = turn;
            all.add(member -> member.sinceSecondNamed() < at ? olderFirst(member) : newest(member));
            all.add(member -> member.sinceSecondNamed() < at ? newest(member) : olderFirst(member));
        }
        return all;
    }

    private static long newest(Member member) {
        return member.set(member.newest()).complete() ? 0 : member.newest();
    }

    private static long olderFirst(Member member) {
        OptionalLong older = member.fetches.overlap().olderNeeded("m", member.held());
        return older.isPresent() ? older.getAsLong() : newest(member);
    }
}
