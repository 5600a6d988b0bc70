package org.micabarrow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.routing.RouteManifest.KeyOwner;

class PlacementFilterTest {

    private static final PlacementFilter FILTER =
            PlacementFilter.of(Map.of("north-1", "north", "north-2", "north", "south-1", "south"));

    private static EndpointRegistration endpointIn(String dataHall) {
        return EndpointRegistration.of("e", "s", "127.0.0.1:1", dataHall, 4, false, Map.of(), 0);
    }

    /** Reads a list of regions; "-" is the absence of a restriction. */
    private static AllowedRegions regions(String text) {
        return text.equals("-")
                ? AllowedRegions.any()
                : AllowedRegions.only(Arrays.stream(text.split(" ")).collect(Collectors.toSet()));
    }

    private static RouteManifest manifest(String ofRoute, String ofOrganisation) {
        Route route = new Route(
                "r",
                "h",
                "/a/",
                List.of(new Route.WeightedService("s", 1)),
                RequestKind.IDEMPOTENT,
                1_000,
                500,
                0,
                2,
                false,
                regions(ofRoute));
        KeyOwner owner = new KeyOwner("o", Optional.empty(), regions(ofOrganisation));
        return RouteManifest.of(new RouteManifest.Parts(1, List.of(route), Map.of(), Map.of("k", owner), true, 1_000));
    }

    // -- decisions

    @ParameterizedTest
    @CsvSource({
        "-,           -,           north-1, true",
        "-,           -,           unknown, true",
        "north,       -,           north-1, true",
        "north,       -,           north-2, true",
        "north,       -,           south-1, false",
        "north,       -,           unknown, false",
        "-,           south,       north-1, false",
        "-,           south,       south-1, true",
        "north south, south,       north-1, false",
        "north south, south,       south-1, true",
        "north,       south,       north-1, false",
        "north,       south,       south-1, false",
        "atlantis,    -,           north-1, false"
    })
    void shouldAllowOnlyRegionsThatRouteAndOrganisationAllow(
            String ofRoute, String ofOrganisation, String dataHall, boolean allowed) {
        AllowedRegions regions = manifest(ofRoute, ofOrganisation).allowedRegions("h", "/a/b", Optional.of("o"));
        assertEquals(allowed, FILTER.allows(endpointIn(dataHall), regions));
    }

    @Test
    void shouldTakeOnlyRestrictionOfRouteWhenRequestHasNoOrganisation() {
        RouteManifest manifest = manifest("north", "south");
        assertEquals(regions("north"), manifest.allowedRegions("h", "/a/b", Optional.empty()));
        assertEquals(regions("north"), manifest.allowedRegions("h", "/a/b", Optional.of("other")));
        assertEquals(regions("south"), manifest.allowedRegions("h", "/other/", Optional.of("o")));
    }

    // -- reasons

    @Test
    void shouldGiveReasonOnlyWhenNoEndpointIsAllowed() {
        List<EndpointRegistration> endpoints = List.of(endpointIn("north-1"), endpointIn("north-2"));
        assertTrue(
                FILTER.refusalReason(endpoints, regions("south")).orElseThrow().contains("[south]"));
        assertEquals(Optional.empty(), FILTER.refusalReason(endpoints, regions("north")));
        assertEquals(Optional.empty(), FILTER.refusalReason(endpoints, regions("-")));
        assertEquals(Optional.empty(), FILTER.refusalReason(List.of(), regions("south")));
    }

    @Test
    void shouldFindRegionsWithoutDataHall() {
        assertEquals(Set.of("atlantis"), FILTER.unknownRegions(manifest("north atlantis", "south")));
        assertEquals(Set.of(), FILTER.unknownRegions(manifest("-", "-")));
    }
}
