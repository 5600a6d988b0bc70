package org.micabarrow.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EntryRankTest {

    private static Set<String> names(int count) {
        return IntStream.range(0, count).mapToObj(i -> "entry-" + i).collect(Collectors.toSet());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 13, 60})
    void shouldAssignDistinctRanks(int count) {
        Map<String, EntryRank> ranks = EntryRank.ranks(names(count), "agent");
        Set<Integer> distinctRanks =
                ranks.values().stream().map(EntryRank::rank).collect(Collectors.toSet());
        assertEquals(IntStream.range(0, count).boxed().collect(Collectors.toSet()), distinctRanks);
        ranks.values().forEach(rank -> assertEquals(count, rank.entries()));
    }

    @ParameterizedTest
    @ValueSource(ints = {5, 13, 60})
    void shouldMoveOthersByAtMostOneRankWhenEntryIsAdded(int count) {
        Map<String, EntryRank> before = EntryRank.ranks(names(count), "agent");
        Set<String> more = new HashSet<>(names(count));
        more.add("newcomer");
        Map<String, EntryRank> after = EntryRank.ranks(more, "agent");
        before.forEach((name, rank) -> assertTrue(after.get(name).rank() - rank.rank() <= 1, name));
        before.forEach((name, rank) -> assertTrue(after.get(name).rank() >= rank.rank(), name));
    }

    @Test
    void shouldRankDifferentlyAtAnotherAgent() {
        assertNotEquals(EntryRank.ranks(names(13), "agent"), EntryRank.ranks(names(13), "another"));
    }

    @Test
    void shouldRejectRankOutOfRange() {
        for (int rank : List.of(-1, 5, Integer.MAX_VALUE)) {
            assertThrows(IllegalArgumentException.class, () -> new EntryRank(rank, 5));
        }
    }
}
