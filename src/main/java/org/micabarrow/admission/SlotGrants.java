package org.micabarrow.admission;

import java.util.List;
import java.util.Objects;
import org.micabarrow.routing.SlotLimits;

/**
 * How an agent divides the free slots of its endpoint that it allots to one entry.
 *
 * @param classes the slots granted to each priority class, the most urgent first; a request may use slots of its own
 *     class and of less urgent ones, and none if neither its class nor a less urgent one is listed
 * @param organisations the organisations that use most over all entries, the heaviest first
 */
public record SlotGrants(List<ClassSlots> classes, List<OrganisationUsage> organisations) {

    /**
     * The slots of one class.
     *
     * @param priority the priority of the class, 0 is the most urgent
     * @param slots the slots granted until the next report
     */
    public record ClassSlots(int priority, int slots) {

        /** Creates a grant; negative numbers are taken as 0. */
        public ClassSlots {
            priority = Math.max(0, priority);
            slots = Math.max(0, slots);
        }
    }

    /**
     * Returns how many requests of each class may be sent.
     *
     * @return the limits, by class
     */
    public SlotLimits limits() {
        return SlotLimits.of(classes.stream()
                .map(one -> new SlotLimits.Limit(one.priority(), one.slots()))
                .toList());
    }

    /** Copies the lists, which must not be longer than what is told. */
    public SlotGrants {
        classes = List.copyOf(Objects.requireNonNull(classes, "classes is null"));
        organisations = List.copyOf(Objects.requireNonNull(organisations, "organisations is null"));
        if (classes.size() > EntryDemand.MAX_CLASSES || organisations.size() > EntryDemand.MAX_ORGANISATIONS) {
            throw new IllegalArgumentException(
                    "grants to " + classes.size() + " classes and " + organisations.size() + " organisations");
        }
    }
}
