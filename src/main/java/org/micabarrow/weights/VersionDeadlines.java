package org.micabarrow.weights;

import java.util.OptionalLong;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import org.micabarrow.views.View;

/** Which weight version is wanted, and until when endpoints may serve the ones before. Safe for any number of threads. */
final class VersionDeadlines {

    /** The version that a model has before any was named. */
    private static final long FIRST_VERSION = 1;

    /** The part of the bound after which an endpoint whose newer version is not here whole must stop serving the older. */
    private static final double RETIRE_PART = 0.84;

    /** The place of the agent that orders last. */
    private static final ReplicaController.Place LAST = new ReplicaController.Place(1, 2);

    /** How long after its turn an agent whose chunks had turned bad may still order, in milliseconds: two passes over them. */
    private static final long READING_BACK_MILLIS = 200;

    private final Supplier<View> view;
    private final IntSupplier layers;
    private final long boundMillis;
    private final LongSupplier steadyMillis;

    /** The newest version in use in a view. Agents look twenty times a second, and views change when an endpoint does. */
    private record InUse(View view, String model, int layers, long version) {}

    private volatile InUse inUse = new InUse(View.empty(), "", 0, 0);

    /**
     * Makes the deadlines of an agent.
     *
     * @param view what is believed of the store
     * @param layers how many layers the model has, 0 while that is not known
     * @param boundMillis how long after a version was named older ones may answer
     * @param steadyMillis a clock that never steps, in milliseconds
     */
    VersionDeadlines(Supplier<View> view, IntSupplier layers, long boundMillis, LongSupplier steadyMillis) {
        this.view = view;
        this.layers = layers;
        this.boundMillis = boundMillis;
        this.steadyMillis = steadyMillis;
    }

    /** The newest version that was named, the first if none was. */
    long newest(String model) {
        return view.get().newestTarget(model).map(View.Target::version).orElse(FIRST_VERSION);
    }

    /** The least version that an endpoint may still serve or take up, or has to in a while. */
    long leastAllowed(String model, long aheadMillis) {
        View now = view.get();
        long due = now.leastVersion(model, retireMillis(), steadyMillis.getAsLong() + aheadMillis);
        return sawNewestNamed(now, model) ? due : Math.max(due, newestInUse(now, model));
    }

    private static boolean sawNewestNamed(View now, String model) {
        return now.newestTarget(model).filter(View.Target::seenNamed).isPresent();
    }

    /**
     * The newest version that any endpoint holds with all layers. A process that found versions named at its start, or has read of
     * none yet, cannot know for how long they have been; an endpoint takes at least 0.45 of the bound until it has a new one.
     */
    private long newestInUse(View now, String model) {
        InUse known = inUse;
        if (known.view() != now || !known.model().equals(model) || known.layers() != layers.getAsInt()) {
            known = new InUse(now, model, layers.getAsInt(), newestHeld(now, model));
            inUse = known;
        }
        return known.version();
    }

    private long newestHeld(View now, String model) {
        return now.endpoints().values().stream()
                .filter(endpoint -> endpoint.layers() >= layers.getAsInt())
                .mapToLong(endpoint -> endpoint.models().getOrDefault(model, 0L))
                .max()
                .orElse(0);
    }

    /** The version that was named first after one that may no longer answer, or else another that is known to be in use. */
    long oldestNewer(String model, long version) {
        return view.get()
                .newerNamed(model, version)
                .map(View.Target::version)
                .orElseGet(() -> leastAllowed(model, Cordon.MILLIS));
    }

    /** A version that is not a certain one: the newest that was named, else the first of all; empty if that is the one. */
    OptionalLong otherThan(String model, long version) {
        return LongStream.of(newest(model), FIRST_VERSION)
                .filter(other -> other != version)
                .findFirst();
    }

    /** When an endpoint must stop serving versions that are older than one. */
    long retireAt(String model, long version) {
        return view.get()
                .newerNamed(model, version - 1)
                .map(named -> named.learnedMillis() + retireMillis())
                .orElse(Long.MIN_VALUE);
    }

    /** Until when an endpoint may get new requests on a version; for ever if none newer was named. */
    long servesUntil(String model, long version) {
        return view.get()
                .newerNamed(model, version)
                .map(named -> named.learnedMillis() + retireMillis() - Cordon.MILLIS)
                .orElse(Long.MAX_VALUE / 2);
    }

    private long retireMillis() {
        return Math.round(boundMillis * RETIRE_PART);
    }

    /** The oldest version that is newer than the one held, older than the newest, and good to answer; empty if there is none. */
    OptionalLong olderThanNewest(String model, long held) {
        View now = view.get();
        long newest = newest(model);
        long least = now.leastVersion(model, boundMillis, steadyMillis.getAsLong());
        return now.newerNamed(model, held).stream()
                .mapToLong(View.Target::version)
                .filter(version -> version < newest && version >= least)
                .findFirst();
    }

    /** Whether even the last agent's turn to order a newer version than the one held has passed, and a pass of reading back. */
    boolean lastOrderPassed(String model, long held) {
        return steadyMillis.getAsLong() >= orderAt(model, held, LAST) + READING_BACK_MILLIS;
    }

    /** When an agent's turn is to order its endpoint to take up a newer version than the one held. */
    long orderAt(String model, long held, ReplicaController.Place place) {
        return view.get()
                .newerNamed(model, held)
                .map(newer -> OrderTimes.at(newer.learnedMillis(), boundMillis, place.position(), place.count()))
                .orElse(Long.MIN_VALUE);
    }
}
