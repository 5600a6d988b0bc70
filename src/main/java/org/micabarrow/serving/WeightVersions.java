package org.micabarrow.serving;

import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.EndpointSelector;
import org.micabarrow.routing.ModelProfile;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.serving.ServingHandler.VersionTimes;
import org.micabarrow.views.View;

/**
 * Decides which weight versions may serve a request, and how long a version that is older than the named one may. Used
 * by the traffic thread.
 */
final class WeightVersions {

    private final Supplier<View> view;
    private final EndpointSelector selector;
    private final VersionTimes times;
    private final LongSupplier monotonicMillis;

    /**
     * Creates the policy.
     *
     * @param dependencies the handler's dependencies
     */
    WeightVersions(ServingHandler.Dependencies dependencies) {
        this.view = dependencies.view();
        this.selector = dependencies.selector();
        this.times = dependencies.versionTimes();
        this.monotonicMillis = dependencies.monotonicMillis();
    }

    /** The model of a request's service; empty for plain services. */
    Optional<ModelProfile> model(ClientRequest request) {
        return view.get()
                .manifest()
                .flatMap(manifest -> manifest.service(request.service()))
                .flatMap(RouteManifest.Service::model);
    }

    // -- by request

    /** The newest named version; 0 if none was named. */
    long newestNamed(ClientRequest request) {
        return model(request)
                .flatMap(model -> view.get().newestTarget(model.model()))
                .map(View.Target::version)
                .orElse(0L);
    }

    /**
     * The minimum version that may still serve the request; 0 for any. A process that found a version already named at
     * its start knows neither since when nor which version came before, so it requires the newest version that any
     * endpoint of the service holds.
     */
    long minVersion(ClientRequest request) {
        return model(request).map(model -> minVersion(request, model.model())).orElse(0L);
    }

    private long minVersion(ClientRequest request, String model) {
        View now = view.get();
        long due = now.minVersion(model, times.requireAfterMillis(), monotonicMillis.getAsLong());
        boolean foundAtStart = now.newestTarget(model)
                .filter(target -> !target.namingObserved())
                .isPresent();
        return foundAtStart ? Math.max(due, newestHeld(now, request, model)) : due;
    }

    private static long newestHeld(View view, ClientRequest request, String model) {
        return view.endpointsOf(request.service()).stream()
                .mapToLong(endpoint -> endpoint.models().getOrDefault(model, 0L))
                .max()
                .orElse(0);
    }

    // -- by request and endpoint

    /** The only version that may serve the request at an endpoint; empty while older versions are still allowed. */
    Optional<Long> requiredVersion(ClientRequest request, EndpointRegistration endpoint) {
        long minVersion = minVersion(request);
        if (minVersion == 0) {
            return Optional.empty();
        }
        long held = model(request).map(model -> held(endpoint, model)).orElse(0L);
        return Optional.of(Math.max(minVersion, held));
    }

    /**
     * Whether a version newer than the endpoint's was named so long ago that the endpoint's agent must be queried
     * first.
     */
    boolean agentQueryDue(ClientRequest request, EndpointRegistration endpoint) {
        return newerNamed(request, endpoint)
                .filter(newer -> monotonicMillis.getAsLong() - newer.namedAtMillis() >= times.queryAfterMillis())
                .isPresent();
    }

    /** Whether an endpoint holds an older version than the one named. */
    boolean holdsOutdated(ClientRequest request, EndpointRegistration endpoint) {
        return newerNamed(request, endpoint).isPresent();
    }

    /** The oldest named version that is newer than an endpoint's; empty if the endpoint holds the newest. */
    Optional<View.Target> newerNamed(ClientRequest request, EndpointRegistration endpoint) {
        return model(request).flatMap(model -> view.get().nextTarget(model.model(), held(endpoint, model)));
    }

    /** Whether an endpoint holds an older version than the given one. */
    boolean holdsOlderThan(ClientRequest request, EndpointRegistration endpoint, View.Target target) {
        return model(request)
                .filter(model -> held(endpoint, model) < target.version())
                .isPresent();
    }

    /** Whether an endpoint may still begin a request, given the version that it holds. */
    boolean mayStart(ClientRequest request, EndpointRegistration endpoint) {
        return newerNamed(request, endpoint)
                .filter(newer -> millisUntilStartDeadline(newer) <= 0)
                .isEmpty();
    }

    /**
     * How long a request may still wait at an endpoint that holds an older version, in milliseconds; not positive if no
     * longer.
     */
    long millisUntilStartDeadline(View.Target newer) {
        return newer.namedAtMillis() + times.cancelAfterMillis() - monotonicMillis.getAsLong();
    }

    /**
     * The version in an endpoint's record, or a newer one with which it has responded or that its agent has reported.
     */
    private long held(EndpointRegistration endpoint, ModelProfile model) {
        long listed = endpoint.models().getOrDefault(model.model(), 0L);
        return Math.max(listed, selector.load(endpoint.start()).version());
    }
}
