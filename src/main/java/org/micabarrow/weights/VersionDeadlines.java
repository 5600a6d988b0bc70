package org.micabarrow.weights;

import java.util.OptionalLong;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import org.micabarrow.views.View;

/** The target weight version, and until when endpoints may serve older ones. Thread-safe. */
final class VersionDeadlines {

    /** The version of a model before any was named. */
    private static final long FIRST_VERSION = 1;

    /** The position of the agent that gives its order last. */
    private static final ReplicaController.RegionPosition LAST_POSITION = new ReplicaController.RegionPosition(1, 2);

    /**
     * How long after its scheduled time an agent with corrupted chunks may still give its order, in milliseconds: two
     * verification passes.
     */
    private static final long READ_BACK_MILLIS = 200;

    private final Supplier<View> view;
    private final IntSupplier layers;
    private final VersionMoments moments;
    private final LongSupplier monotonicMillis;

    /**
     * The newest version in use in a view. Cached, because agents check twenty times a second while views change only
     * with an endpoint.
     */
    private record InUse(View view, String model, int layers, long version) {}

    private volatile InUse inUse = new InUse(View.empty(), "", 0, 0);

    /**
     * Creates the deadlines for an agent.
     *
     * @param view the current view of the store
     * @param layers the number of layers of the model, 0 while unknown
     * @param maxStalenessMillis how long older versions may be served after a newer one was named
     * @param monotonicMillis a monotonic clock, in milliseconds
     */
    VersionDeadlines(Supplier<View> view, IntSupplier layers, long maxStalenessMillis, LongSupplier monotonicMillis) {
        this.view = view;
        this.layers = layers;
        this.moments = new VersionMoments(maxStalenessMillis);
        this.monotonicMillis = monotonicMillis;
    }

    /** The newest named version; the first version if none was named. */
    long newest(String model) {
        return view.get().newestTarget(model).map(View.Target::version).orElse(FIRST_VERSION);
    }

    /** The minimum version that an endpoint may serve or load after {@code aheadMillis} milliseconds. */
    long minAllowedVersion(String model, long aheadMillis) {
        View current = view.get();
        long minVersion = current.minVersion(model, moments.stopMillis(), monotonicMillis.getAsLong() + aheadMillis);
        return sawNewestBeingNamed(current, model) ? minVersion : Math.max(minVersion, newestInUse(current, model));
    }

    private static boolean sawNewestBeingNamed(View current, String model) {
        return current.newestTarget(model).filter(View.Target::namingObserved).isPresent();
    }

    /**
     * The newest version of which any endpoint holds all layers. A process that found versions already named at its
     * start, or has not read of any yet, cannot know how long ago they were named; an endpoint is not ordered to load a
     * new version before the first of the {@linkplain VersionMoments moments}.
     */
    private long newestInUse(View current, String model) {
        InUse cached = inUse;
        if (cached.view() != current || !cached.model().equals(model) || cached.layers() != layers.getAsInt()) {
            cached = new InUse(current, model, layers.getAsInt(), newestHeld(current, model));
            inUse = cached;
        }
        return cached.version();
    }

    private long newestHeld(View current, String model) {
        return current.endpoints().values().stream()
                .filter(endpoint -> endpoint.layers() >= layers.getAsInt())
                .mapToLong(endpoint -> endpoint.models().getOrDefault(model, 0L))
                .max()
                .orElse(0);
    }

    /**
     * The first version named after one that may no longer be served; if none is known, the minimum allowed version.
     */
    long firstNewer(String model, long version) {
        return view.get()
                .nextTarget(model, version)
                .map(View.Target::version)
                .orElseGet(() -> minAllowedVersion(model, Cordon.LEAD_MILLIS));
    }

    /**
     * Any version other than the given one: the newest named version, else the first version; empty if both are the
     * given one.
     */
    OptionalLong anyOtherVersion(String model, long version) {
        return LongStream.of(newest(model), FIRST_VERSION)
                .filter(other -> other != version)
                .findFirst();
    }

    /** When an endpoint must stop serving versions that are older than the given one. */
    long retireAt(String model, long version) {
        return view.get()
                .nextTarget(model, version - 1)
                .map(target -> target.namedAtMillis() + moments.stopMillis())
                .orElse(Long.MIN_VALUE);
    }

    /**
     * Until when an endpoint may get new requests on a version; practically unlimited if no newer version was named.
     */
    long servesUntil(String model, long version) {
        return view.get()
                .nextTarget(model, version)
                .map(target -> target.namedAtMillis() + moments.cordonMillis())
                .orElse(Long.MAX_VALUE / 2);
    }

    /**
     * How long a version may still be served, in milliseconds, negative if no longer; empty if no newer one was named.
     */
    OptionalLong millisUntilBound(String model, long version) {
        return view.get().nextTarget(model, version).stream()
                .mapToLong(target -> target.namedAtMillis() + moments.boundMillis() - monotonicMillis.getAsLong())
                .findFirst();
    }

    /** The moments at which older versions end. */
    VersionMoments moments() {
        return moments;
    }

    /**
     * The oldest version that is newer than the held one, older than the newest, and may still be served; empty if
     * there is none.
     */
    OptionalLong oldestUsableBeforeNewest(String model, long held) {
        View current = view.get();
        long newest = newest(model);
        long minVersion = current.minVersion(model, moments.boundMillis(), monotonicMillis.getAsLong());
        return current.nextTarget(model, held).stream()
                .mapToLong(View.Target::version)
                .filter(version -> version < newest && version >= minVersion)
                .findFirst();
    }

    /**
     * Whether the last scheduled time of any agent to order a version newer than the held one has passed, plus the time
     * to read back corrupted chunks.
     */
    boolean lastOrderPassed(String model, long held) {
        return monotonicMillis.getAsLong() >= orderAt(model, held, LAST_POSITION) + READ_BACK_MILLIS;
    }

    /** When an agent is scheduled to order its endpoint to load a version newer than the held one. */
    long orderAt(String model, long held, ReplicaController.RegionPosition position) {
        return view.get()
                .nextTarget(model, held)
                .map(target ->
                        OrderSchedule.orderMillis(target.namedAtMillis(), moments, position.index(), position.count()))
                .orElse(Long.MIN_VALUE);
    }
}
