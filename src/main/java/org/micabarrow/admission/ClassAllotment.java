package org.micabarrow.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.micabarrow.admission.SlotGrants.ClassSlots;

/**
 * Allots the free slots of an endpoint to entries by class. Some slots are reserved for more urgent classes, in
 * proportion to their measured arrivals at all entries: a less urgent request gets a slot only while more are free.
 * Without a reserve, an urgent request would have to wait until a request of its own entry ends, since all other slots
 * are taken as soon as they become free; with it the entries share the slots that are kept free. While urgent classes
 * have no arrivals, nothing is reserved. With a single class all slots are allotted by {@link SlotAllotment}. Not
 * thread-safe: confined to one thread.
 */
public final class ClassAllotment {

    /** Time after which an entry's last demand no longer counts, in milliseconds, as for {@link SlotAllotment}. */
    private static final long DEMAND_EXPIRY_MILLIS = 1_000;

    /**
     * The arrivals of this time are reserved, in milliseconds: until a slot that has been taken is replaced, an agent
     * looks at its endpoint once and the entries query it once.
     */
    private static final double RESERVE_MILLIS = 250;

    /** The largest fraction of the slots that is reserved; more would idle too many of them. */
    private static final double MAX_RESERVED_FRACTION = 0.25;

    /** Weight of a waiting request relative to a request that arrives within a second. */
    private static final int WAITING_WEIGHT = 4;

    /** The class of requests that are less urgent than all others. */
    private static final int LOWEST_PRIORITY = 255;

    private final SlotAllotment undivided;
    private final RandomGenerator random;
    private final Map<String, Demand> demands = new HashMap<>();

    /** The fractions of slots that entries have not been given yet, by entry and priority. */
    private final Map<String, Map<Integer, Double>> carries = new HashMap<>();

    /** Decides at which endpoints a fraction of a slot is reserved; the same all the time, so that the slot stays free. */
    private Optional<Double> rounding = Optional.empty();

    private record Demand(EntryDemand demand, long atMillis) {}

    /**
     * The endpoints that run the requests of a service.
     *
     * @param slots the number of requests that an endpoint runs concurrently
     * @param endpoints the number of endpoints
     */
    public record Pool(int slots, int endpoints) {}

    /**
     * What an entry may use until its next query.
     *
     * @param slots the slots allotted to it
     * @param grants how they are divided by class; empty if they are not
     */
    public record Allotment(int slots, Optional<SlotGrants> grants) {}

    /**
     * Creates an allotment without entries.
     *
     * @param random staggers the allotment of single slots
     */
    public ClassAllotment(RandomGenerator random) {
        this.random = Objects.requireNonNull(random, "random is null");
        this.undivided = new SlotAllotment(random);
    }

    /**
     * Allots an entry its part of the free slots.
     *
     * @param entry the entry's name
     * @param unmet the number of requests that it recently refused for lack of capacity
     * @param demand the demand of its classes; empty if it does not tell
     * @param freeSlots the number of free slots
     * @param endpoints the endpoints of the service
     * @param nowMillis the time on the monotonic clock
     * @return what it may use
     */
    public Allotment allot(
            String entry,
            int unmet,
            Optional<EntryDemand> demand,
            int freeSlots,
            Supplier<Pool> endpoints,
            long nowMillis) {
        record(entry, demand, nowMillis);
        List<Integer> priorities = priorities();
        if (priorities.size() < 2) {
            int slots = undivided.allot(entry, unmet, freeSlots, nowMillis);
            return new Allotment(slots, Optional.empty());
        }
        Pool pool = endpoints.get();
        int reservedForOthers = reservedFrom(priorities.getLast(), pool);
        int unreserved = Math.max(0, freeSlots - reservedForOthers);
        int general = undivided.allot(entry, unmet, unreserved, nowMillis);
        if (demand.isEmpty()) {
            return new Allotment(general, Optional.empty());
        }
        List<ClassSlots> granted = new ArrayList<>();
        int reserved = reservedSlots(entry, priorities, freeSlots, pool, granted);
        if (freeSlots >= reservedForOthers) {
            granted.add(new ClassSlots(LOWEST_PRIORITY, general));
        }
        return new Allotment(
                reserved + general, Optional.of(new SlotGrants(granted, OrganisationTotals.heaviest(recent()))));
    }

    private void record(String entry, Optional<EntryDemand> demand, long nowMillis) {
        demands.values().removeIf(other -> nowMillis - other.atMillis() > DEMAND_EXPIRY_MILLIS);
        carries.keySet().retainAll(demands.keySet());
        demand.ifPresentOrElse(one -> demands.put(entry, new Demand(one, nowMillis)), () -> demands.remove(entry));
    }

    private List<EntryDemand> recent() {
        return demands.values().stream().map(Demand::demand).toList();
    }

    /** The priorities of which any entry has demand, the most urgent first. */
    private List<Integer> priorities() {
        TreeSet<Integer> priorities = new TreeSet<>();
        demands.values().forEach(one -> one.demand().classes().forEach(each -> priorities.add(each.priority())));
        return priorities.stream().limit(EntryDemand.MAX_CLASSES).toList();
    }

    /** The slots that are kept free for classes that are more urgent than the given one. */
    private int reservedFrom(int priority, Pool pool) {
        double urgent = 0;
        for (Demand one : demands.values()) {
            for (ClassDemand each : one.demand().classes()) {
                if (each.priority() < priority) {
                    urgent += each.arrivalsPerSecond() * RESERVE_MILLIS / 1_000 + each.waiting();
                }
            }
        }
        if (urgent == 0) {
            return 0;
        }
        if (rounding.isEmpty()) {
            rounding = Optional.of(random.nextDouble());
        }
        int reserved = (int) (urgent / Math.max(1, pool.endpoints()) + rounding.get());
        return Math.min(reserved, (int) Math.ceil(pool.slots() * MAX_RESERVED_FRACTION));
    }

    /** Grants an entry its part of the slots that each class shares only with more urgent ones; returns their sum. */
    private int reservedSlots(
            String entry, List<Integer> priorities, int freeSlots, Pool pool, List<ClassSlots> granted) {
        int sum = 0;
        for (int i = 0; i + 1 < priorities.size(); i++) {
            int reservedBefore = reservedFrom(priorities.get(i), pool);
            if (freeSlots < reservedBefore) {
                break;
            }
            int shared = Math.min(freeSlots, reservedFrom(priorities.get(i + 1), pool)) - reservedBefore;
            int slots = part(entry, priorities.get(i), shared);
            granted.add(new ClassSlots(priorities.get(i), slots));
            sum += slots;
        }
        return sum;
    }

    private int part(String entry, int priority, int slots) {
        Map<Integer, Double> carried = carries.computeIfAbsent(entry, name -> new TreeMap<>());
        double total = 0;
        for (Demand one : demands.values()) {
            total += weight(one.demand(), priority);
        }
        double own = weight(demands.get(entry).demand(), priority);
        double due =
                carried.computeIfAbsent(priority, key -> random.nextDouble()) + (total == 0 ? 0 : slots * own / total);
        carried.put(priority, due - (int) due);
        return (int) due;
    }

    /** The weight of an entry's demand among those for slots of a class, which more urgent classes may use as well. */
    private static double weight(EntryDemand demand, int priority) {
        return demand.classes().stream()
                .filter(one -> one.priority() <= priority)
                .mapToInt(one -> one.arrivalsPerSecond() + WAITING_WEIGHT * one.waiting())
                .sum();
    }
}
