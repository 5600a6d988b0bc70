package org.micabarrow.coordination.configuration;

import java.time.InstantSource;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.micabarrow.state.Digest;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Instance;
import org.micabarrow.state.InstanceSelector;
import org.micabarrow.state.Record;
import org.micabarrow.state.Replica;

/**
 * The records that entries write on their own: the replacement of a lost replica inside a confirmed envelope, and
 * checkpoints. The entry that ranks first among those listed does them; two doing them at once is harmless, since the
 * log decides.
 *
 * <p>Used on the control thread.
 */
public final class Duties {

    private final String entry;
    private final long repairMillis;
    private final long checkpointMillis;
    private final Supplier<String> ids;
    private final InstantSource clock;
    private final Map<String, Long> lostSince = new HashMap<>();
    private long checkpointTried;

    /**
     * Makes the duties of one entry.
     *
     * @param entry this entry's instance
     * @param repairMillis after how long a lost replica is replaced
     * @param checkpointMillis how often the folded state is written again
     * @param ids gives ids to records
     * @param clock tells the time
     */
    public Duties(String entry, long repairMillis, long checkpointMillis, Supplier<String> ids, InstantSource clock) {
        this.entry = Objects.requireNonNull(entry, "entry is null");
        this.repairMillis = repairMillis;
        this.checkpointMillis = checkpointMillis;
        this.ids = Objects.requireNonNull(ids, "ids is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
    }

    /**
     * Whether this entry does a duty in a period: it ranks first by a hash of the period and the entry.
     *
     * @param instances the instances listed
     * @param period the period
     * @return true if no listed entry ranks before this one
     */
    boolean first(List<Instance> instances, long period) {
        String name = Long.toString(period);
        return instances.stream()
                .filter(instance -> instance.kind().equals(Instance.ENTRY) && !instance.leaving())
                .min(Comparator.comparingLong(instance -> Digest.rank(name, instance.id())))
                .map(instance -> instance.id().equals(entry))
                .orElse(true);
    }

    /**
     * The replacements that are due.
     *
     * @param state the configuration
     * @param instances the instances listed
     * @param silent tells whether an agent has not been heard for the time given by the settings
     * @return the records to write
     */
    public List<Record> repairs(FoldedState state, List<Instance> instances, Predicate<String> silent) {
        long now = clock.millis();
        Map<String, Instance> listed = new HashMap<>();
        instances.forEach(instance -> listed.put(instance.id(), instance));
        if (listed.isEmpty() || !first(instances, now / Math.max(1, repairMillis))) {
            return List.of();
        }
        InstanceSelector candidates = new InstanceSelector(state, instances);
        return state.placements().values().stream()
                .flatMap(placed -> placed.replicas().stream()
                        .filter(replica -> lost(replica, listed, silent, now))
                        .findFirst()
                        .flatMap(replica -> replacement(candidates, state, placed, replica))
                        .stream())
                .toList();
    }

    /** A replica is lost when the platform no longer lists its instance and it has been silent for long enough. */
    private boolean lost(Replica replica, Map<String, Instance> listed, Predicate<String> silent, long now) {
        if (listed.containsKey(replica.instance()) || !silent.test(replica.instance())) {
            lostSince.remove(replica.instance());
            return false;
        }
        return now - lostSince.computeIfAbsent(replica.instance(), key -> now) >= repairMillis;
    }

    private Optional<Record> replacement(
            InstanceSelector candidates, FoldedState state, FoldedState.ActivePlacement placed, Replica lost) {
        if (placed.replaced() >= placed.placement().envelope().replacements()) {
            return Optional.empty();
        }
        return candidates
                .selectReplacement(placed, lost)
                .map(instance -> new Record.ReplicaReplaced(
                        ids.get(), state.offset(), placed.placement().name(), lost.instance(), instance.replica()));
    }

    /**
     * The checkpoint that is due.
     *
     * @param view the configuration with the age of its newest checkpoint
     * @param instances the instances listed
     * @return the record to write, if one is due and this entry is to write it
     */
    public Optional<Record> checkpoint(Configuration.View view, List<Instance> instances) {
        long now = clock.millis();
        boolean due = view.checkpointMillis() > 0
                && now - view.checkpointMillis() >= checkpointMillis
                && now - checkpointTried >= checkpointMillis / 10;
        if (!due || !first(instances, now / checkpointMillis)) {
            return Optional.empty();
        }
        checkpointTried = now;
        FoldedState state = view.state();
        return Optional.of(new Record.Checkpoint(ids.get(), state, state.digest()));
    }
}
