package org.micabarrow.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.micabarrow.routing.RequestSize;

/** The sizes of the recent requests of each route. Not thread-safe: confined to one thread. */
public final class RouteSizes {

    private final Map<String, SizeDistribution> byRoute = new HashMap<>();

    /** Creates the sizes of routes without requests. */
    public RouteSizes() {}

    /**
     * Records a request.
     *
     * @param route the name of its route
     * @param size its size
     * @return how large it is among the recent requests of the route
     */
    public SizeBand arrived(String route, RequestSize size) {
        SizeDistribution sizes =
                byRoute.computeIfAbsent(Objects.requireNonNull(route, "route is null"), name -> new SizeDistribution());
        sizes.add(size.weight());
        return sizes.band(size.weight());
    }
}
