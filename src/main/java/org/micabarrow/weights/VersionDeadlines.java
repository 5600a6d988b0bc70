package org.micabarrow.weights;

import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.micabarrow.views.View;

/** Which weight version is wanted, and until when endpoints may serve the ones before. Safe for any number of threads. */
final class VersionDeadlines {

    /** The version that a model has before any was named. */
    private static final long FIRST_VERSION = 1;

    /** The part of the bound after which an endpoint whose newer version is not here whole must stop serving the older. */
    private static final double RETIRE_PART = 0.84;

    private final Supplier<View> view;
    private final long boundMillis;
    private final LongSupplier steadyMillis;

    /**
     * Makes the deadlines of an agent.
     *
     * @param view what is believed of the store
     * @param boundMillis how long after a version was named older ones may answer
     * @param steadyMillis a clock that never steps, in milliseconds
     */
    VersionDeadlines(Supplier<View> view, long boundMillis, LongSupplier steadyMillis) {
        this.view = view;
        this.boundMillis = boundMillis;
        this.steadyMillis = steadyMillis;
    }

    /** The newest version that was named, the first if none was. */
    long newest(String model) {
        return view.get().newestTarget(model).map(View.Target::version).orElse(FIRST_VERSION);
    }

    /** The least version that an endpoint may still serve or take up, or has to in a while. */
    long leastAllowed(String model, long aheadMillis) {
        return view.get().leastVersion(model, retireMillis(), steadyMillis.getAsLong() + aheadMillis);
    }

    /** When an endpoint must stop serving versions that are older than one. */
    long retireAt(String model, long version) {
        return view.get()
                .newerNamed(model, version - 1)
                .map(named -> named.learnedMillis() + retireMillis())
                .orElse(Long.MIN_VALUE);
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

    /** When an agent's turn is to order its endpoint to take up a newer version than the one held. */
    long orderAt(String model, long held, ReplicaKeeper.Place place) {
        return view.get()
                .newerNamed(model, held)
                .map(newer -> OrderTimes.at(newer.learnedMillis(), boundMillis, place.position(), place.count()))
                .orElse(Long.MIN_VALUE);
    }
}
