package org.micabarrow.serving;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.routing.AllowedRegions;
import org.micabarrow.routing.PlacementFilter;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.views.StoredRecord;
import org.micabarrow.views.View;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The regions in which requests may be handled. Two manifests bind a request: the one by which it was accepted, since
 * its client relied on it, and the newest one that is known when it is sent. A manifest that restricts a route thus
 * takes effect on requests that wait or are retried; one that lifts a restriction, on those that arrive afterwards.
 * Used by the traffic thread.
 */
final class RequestPlacement {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.request");

    private final Supplier<View> view;
    private final PlacementFilter filter;
    private Optional<RouteManifest> checked = Optional.empty();

    RequestPlacement(Supplier<View> view, PlacementFilter filter) {
        this.view = Objects.requireNonNull(view, "view is null");
        this.filter = Objects.requireNonNull(filter, "filter is null");
    }

    /** The regions in which a request may be handled now. */
    AllowedRegions allowedRegions(ClientRequest request) {
        Optional<RouteManifest> newest = view.get().manifest();
        newest.ifPresent(this::logUnknownRegions);
        AllowedRegions byNewest = newest.map(manifest ->
                        manifest.allowedRegions(request.route().host(), request.target(), request.organisation()))
                .orElse(AllowedRegions.any());
        return byNewest.and(request.allowedRegions());
    }

    /** Why a request's placement leaves none of its service's endpoints; empty if there is another cause. */
    Optional<String> refusalReason(ClientRequest request) {
        return filter.refusalReason(view.get().endpointsOf(request.service()), allowedRegions(request));
    }

    /** Logs once a manifest which of its regions are unknown. */
    private void logUnknownRegions(RouteManifest manifest) {
        if (checked.filter(known -> known == manifest).isPresent()) {
            return;
        }
        checked = Optional.of(manifest);
        Set<String> unknown = filter.unknownRegions(manifest);
        if (!unknown.isEmpty()) {
            LOG.warn(
                    "event=regions_unknown version={} regions=\"{}\" effect=no_match",
                    manifest.version(),
                    StoredRecord.loggable(String.join(",", unknown)));
        }
    }
}
