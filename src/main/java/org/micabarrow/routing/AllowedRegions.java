package org.micabarrow.routing;

import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * The regions in which a request may be handled. Immutable.
 *
 * @param regions the regions; empty if there is no restriction, which differs from an empty set: a request that is
 *     restricted to no region at all may not be handled anywhere
 */
public record AllowedRegions(Optional<Set<String>> regions) {

    private static final AllowedRegions ANY = new AllowedRegions(Optional.empty());

    /** Copies the regions. */
    public AllowedRegions {
        Objects.requireNonNull(regions, "regions is null");
        regions = regions.map(Set::copyOf);
    }

    // -- static factories

    /**
     * Returns the absence of a restriction.
     *
     * @return the value that allows every region
     */
    public static AllowedRegions any() {
        return ANY;
    }

    /**
     * Returns a restriction.
     *
     * @param regions the only regions that are allowed; none is allowed if it is empty
     * @return the restriction
     */
    public static AllowedRegions only(Set<String> regions) {
        return new AllowedRegions(Optional.of(Objects.requireNonNull(regions, "regions is null")));
    }

    // -- operations

    /**
     * Returns whether a region is allowed.
     *
     * @param region the region; null, as for an unknown data hall, is allowed only if there is no restriction
     * @return true if requests may be handled there
     */
    public boolean allows(String region) {
        return regions.isEmpty() || region != null && regions.get().contains(region);
    }

    /**
     * Returns the restriction that results from this and another one together.
     *
     * @param other the other restriction
     * @return the regions that both allow
     */
    public AllowedRegions and(AllowedRegions other) {
        if (regions.isEmpty()) {
            return other;
        }
        if (other.regions.isEmpty()) {
            return this;
        }
        Set<String> common = new HashSet<>(regions.get());
        common.retainAll(other.regions.get());
        return only(common);
    }
}
