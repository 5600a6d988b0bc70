package org.micabarrow.admission;

/**
 * The demand of one priority class at one entry.
 *
 * @param priority the priority of the class, 0 is the most urgent
 * @param arrivalsPerSecond the requests that arrived in about the last second
 * @param waiting the requests that wait in the entry for a free slot
 */
public record ClassDemand(int priority, int arrivalsPerSecond, int waiting) {

    /** Creates a demand; negative numbers are taken as 0. */
    public ClassDemand {
        priority = Math.max(0, priority);
        arrivalsPerSecond = Math.max(0, arrivalsPerSecond);
        waiting = Math.max(0, waiting);
    }
}
