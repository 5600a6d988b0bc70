package org.micabarrow.coordination.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.micabarrow.state.Replica;

/**
 * Which agents an entry asks for their status at each tick: those that have waited longest, and never more than a
 * bounded number a second, so that the cost does not grow with the number of agents. With few agents each is asked once a
 * period; with many the time between two questions to one agent grows, and what its answers to requests tell fills the
 * gap.
 *
 * <p>Used on the control thread.
 *
 * <pre>{@code
 * List<Replica> due = rotation.due(table.wanted(state), now);
 * }</pre>
 */
public final class StatusRotation {

    /** The most questions a second. */
    public static final int MAX_PER_SECOND = 50;

    private final long periodMillis;
    private final Map<String, Long> asked = new HashMap<>();

    /**
     * Makes a rotation.
     *
     * @param periodMillis how often each agent is asked while there are few
     */
    public StatusRotation(long periodMillis) {
        this.periodMillis = periodMillis;
    }

    /**
     * The agents to ask now; to be called once a period.
     *
     * @param wanted the agents to keep in touch with
     * @param nowMillis the time
     * @return those that are due
     */
    public List<Replica> due(List<Replica> wanted, long nowMillis) {
        asked.keySet().retainAll(wanted.stream().map(Replica::instance).toList());
        List<Replica> longestFirst = new ArrayList<>(wanted);
        longestFirst.sort(Comparator.comparing(replica -> asked.getOrDefault(replica.instance(), 0L)));
        List<Replica> due = longestFirst.subList(0, Math.min(longestFirst.size(), mostNow()));
        due.forEach(replica -> asked.put(replica.instance(), nowMillis));
        return List.copyOf(due);
    }

    private int mostNow() {
        return (int) Math.max(1, MAX_PER_SECOND * periodMillis / 1000);
    }

    /**
     * The time between two questions to one agent.
     *
     * @param agents how many agents there are
     * @return milliseconds
     */
    public long rotationMillis(int agents) {
        return Math.max(periodMillis, periodMillis * agents / mostNow());
    }
}
