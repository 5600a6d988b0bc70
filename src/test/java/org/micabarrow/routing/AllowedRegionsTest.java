package org.micabarrow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;

class AllowedRegionsTest {

    private static final AllowedRegions NORTH_AND_SOUTH = AllowedRegions.only(Set.of("north", "south"));

    @Test
    void shouldAllowEveryRegionWhenThereIsNoRestriction() {
        assertEquals(true, AllowedRegions.any().allows("north"));
        assertEquals(true, AllowedRegions.any().allows(null));
    }

    @Test
    void shouldAllowOnlyListedRegionsWhenRestricted() {
        assertEquals(true, NORTH_AND_SOUTH.allows("north"));
        assertEquals(false, NORTH_AND_SOUTH.allows("west"));
        assertEquals(false, NORTH_AND_SOUTH.allows(null));
    }

    @Test
    void shouldAllowNoRegionWhenListIsEmpty() {
        assertEquals(false, AllowedRegions.only(Set.of()).allows("north"));
    }

    @Test
    void shouldAllowOnlyCommonRegionsWhenBothAreRestricted() {
        AllowedRegions southAndWest = AllowedRegions.only(Set.of("south", "west"));
        assertEquals(AllowedRegions.only(Set.of("south")), NORTH_AND_SOUTH.and(southAndWest));
        assertEquals(AllowedRegions.only(Set.of()), NORTH_AND_SOUTH.and(AllowedRegions.only(Set.of("west"))));
    }

    @Test
    void shouldKeepRestrictionWhenOtherHasNone() {
        assertEquals(NORTH_AND_SOUTH, NORTH_AND_SOUTH.and(AllowedRegions.any()));
        assertEquals(NORTH_AND_SOUTH, AllowedRegions.any().and(NORTH_AND_SOUTH));
    }
}
