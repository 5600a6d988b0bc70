package org.micabarrow.serving;

import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.routing.EndpointSelector;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.ModelProfile;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.serving.ServingHandler.VersionTimes;
import org.micabarrow.views.View;

/**
 * Which weight versions may answer a request, and until when an older one than was named may. Used by the one thread for
 * traffic.
 */
final class WeightVersions {

    private final Supplier<View> view;
    private final EndpointSelector choice;
    private final VersionTimes times;
    private final LongSupplier steadyMillis;

    /**
     * Takes what a handler works with.
     *
     * @param given the handler's parts
     */
    WeightVersions(ServingHandler.Parts given) {
        this.view = given.view();
        this.choice = given.choice();
        this.times = given.versionTimes();
        this.steadyMillis = given.steadyMillis();
    }

    /** The model of a request's service; empty for plain services. */
    Optional<ModelProfile> model(ClientRequest request) {
        return view.get()
                .manifest()
                .flatMap(manifest -> manifest.service(request.service()))
                .flatMap(RouteManifest.Service::model);
    }

    // -- of a request

    /** The newest version that was named; 0 if none was. */
    long newest(ClientRequest request) {
        return model(request)
                .flatMap(model -> view.get().newestTarget(model.model()))
                .map(View.Target::version)
                .orElse(0L);
    }

    /**
     * The least version that may still answer; 0 for any. A process that found a version named at its start does not know
     * for how long, nor which came before: it demands the newest that any endpoint of the service holds.
     */
    long least(ClientRequest request) {
        return model(request).map(model -> least(request, model.model())).orElse(0L);
    }

    private long least(ClientRequest request, String model) {
        View now = view.get();
        long due = now.leastVersion(model, times.demandMillis(), steadyMillis.getAsLong());
        boolean foundAtStart =
                now.newestTarget(model).filter(target -> !target.seenNamed()).isPresent();
        return foundAtStart ? Math.max(due, newestHeld(now, request, model)) : due;
    }

    private static long newestHeld(View view, ClientRequest request, String model) {
        return view.endpointsOf(request.service()).stream()
                .mapToLong(endpoint -> endpoint.models().getOrDefault(model, 0L))
                .max()
                .orElse(0);
    }

    // -- of a request at an endpoint

    /** The only version that may answer at an endpoint, once the time for older ones is over. */
    Optional<Long> expected(ClientRequest request, EndpointRegistration endpoint) {
        long least = least(request);
        if (least == 0) {
            return Optional.empty();
        }
        long held = model(request).map(model -> held(endpoint, model)).orElse(0L);
        return Optional.of(Math.max(least, held));
    }

    /** Whether an endpoint holds an older version than was named, for so long that its agent is to be asked first. */
    boolean askDue(ClientRequest request, EndpointRegistration endpoint) {
        return newerNamed(request, endpoint)
                .filter(newer -> steadyMillis.getAsLong() - newer.learnedMillis() >= times.askMillis())
                .isPresent();
    }

    /** Whether an endpoint holds an older version than was named. */
    boolean older(ClientRequest request, EndpointRegistration endpoint) {
        return newerNamed(request, endpoint).isPresent();
    }

    /** The oldest version that is newer than an endpoint's; empty if it holds the newest. */
    Optional<View.Target> newerNamed(ClientRequest request, EndpointRegistration endpoint) {
        return model(request).flatMap(model -> view.get().newerNamed(model.model(), held(endpoint, model)));
    }

    /** Whether an endpoint holds an older version than one. */
    boolean holdsOlder(ClientRequest request, EndpointRegistration endpoint, View.Target than) {
        return model(request)
                .filter(model -> held(endpoint, model) < than.version())
                .isPresent();
    }

    /** Whether an endpoint may still begin a request now, by the version that it holds. */
    boolean mayBegin(ClientRequest request, EndpointRegistration endpoint) {
        return newerNamed(request, endpoint)
                .filter(newer -> millisToBegin(newer) <= 0)
                .isEmpty();
    }

    /** How long a request may still wait at an endpoint that holds an older version, in milliseconds; not above 0 if no more. */
    long millisToBegin(View.Target newer) {
        return newer.learnedMillis() + times.cancelMillis() - steadyMillis.getAsLong();
    }

    /** The version that an endpoint's entry names, or a newer one by which it has answered or of which its agent told. */
    private long held(EndpointRegistration endpoint, ModelProfile model) {
        long entered = endpoint.models().getOrDefault(model.model(), 0L);
        return Math.max(entered, choice.load(endpoint.start()).version());
    }
}
