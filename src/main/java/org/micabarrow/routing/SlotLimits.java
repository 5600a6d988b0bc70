package org.micabarrow.routing;

import java.util.List;
import java.util.Objects;

/**
 * How many more requests of each class an entry may send to an endpoint until its agent's next report. The most urgent
 * class may use all slots that are allotted to the entry, less urgent ones only what is not reserved for others.
 */
public final class SlotLimits {

    private static final SlotLimits UNDIVIDED = new SlotLimits(false, List.of());

    private final boolean divided;
    private final List<Limit> limits;

    /**
     * The slots of one class.
     *
     * @param priority the priority of the class, 0 is the most urgent
     * @param slots the slots that it shares with more urgent classes
     */
    public record Limit(int priority, int slots) {}

    private SlotLimits(boolean divided, List<Limit> limits) {
        this.divided = divided;
        this.limits = List.copyOf(limits);
    }

    // -- static factories

    /**
     * Returns the limits of an agent that does not divide slots by class.
     *
     * @return limits that differ for no class
     */
    public static SlotLimits undivided() {
        return UNDIVIDED;
    }

    /**
     * Returns limits by class.
     *
     * @param limits the slots of each class
     * @return the limits; a class beyond the least urgent one listed may send nothing, not even in the place of an
     *     ended request
     */
    public static SlotLimits of(List<Limit> limits) {
        return new SlotLimits(true, Objects.requireNonNull(limits, "limits is null"));
    }

    // -- decision

    /**
     * Returns whether a class may send one more request.
     *
     * @param priority the priority of the class
     * @param started the requests that the entry has sent since the report, less those that have ended; negative if
     *     more have ended
     * @param allotted the slots that are allotted to the entry
     * @return true within the slots of the class and of less urgent ones
     */
    boolean allow(int priority, int started, int allotted) {
        if (!divided) {
            return started < allotted;
        }
        boolean listed = false;
        long slots = 0;
        for (Limit limit : limits) {
            if (limit.priority() >= priority) {
                listed = true;
                slots += limit.slots();
            }
        }
        return listed && started < Math.min(slots, allotted);
    }
}
