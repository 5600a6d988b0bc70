package org.micabarrow.views;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.micabarrow.views.RecordDecoder.OperatorRecord;
import org.micabarrow.views.View.Learned;

/**
 * Target weight versions as named by operators, and as saved in the store by processes together with the time of day at
 * which they learned of them. Not thread-safe.
 */
final class WeightTargets {

    private final LongSupplier steadyMillis;
    private final LongSupplier unixMillis;

    /** The newest version of each model that was read from operator records. */
    private final Map<String, View.Target> byOperator = new HashMap<>();

    /** The records of those versions. The topic copy loses a record when an older version is written late. */
    private final Map<String, StoredRecord> records = new HashMap<>();

    WeightTargets(LongSupplier steadyMillis, LongSupplier unixMillis) {
        this.steadyMillis = steadyMillis;
        this.unixMillis = unixMillis;
    }

    /** Records a version that was read from an operator record. */
    View.Target byOperator(StoredRecord record, String model, long version, boolean seenNamed) {
        Learned learned = seenNamed ? Learned.SEEN_NAMED : Learned.FOUND;
        View.Target target = new View.Target(version, steadyMillis.getAsLong(), learned);
        if (byOperator.merge(model, target, (a, b) -> a.version() >= b.version() ? a : b) == target) {
            records.put(model, record);
        }
        return target;
    }

    /** The records of the newest versions, where their offset is at or after the given one. */
    List<StoredRecord> newestRecords(long offset) {
        return records.values().stream()
                .filter(record -> record.offset() >= offset)
                .toList();
    }

    // -- records saved by processes

    /**
     * Returns only the newest saved version of each model. It is not known when the others were named, and they must
     * not appear to be still allowed to serve.
     */
    Map<String, View.Target> kept(List<OperatorRecord> said) {
        Map<String, View.Target> newest = new HashMap<>();
        for (OperatorRecord one : said) {
            if (one instanceof OperatorRecord.WeightsNamed named) {
                newest.merge(named.model(), target(named), (a, b) -> a.version() >= b.version() ? a : b);
            }
        }
        return newest;
    }

    private View.Target target(OperatorRecord.WeightsNamed named) {
        Learned learned = named.namedMillis().isPresent() ? Learned.TOLD_WHEN : Learned.FOUND;
        return new View.Target(named.version(), learnedMillis(named), learned);
    }

    /**
     * Returns when a version was named, on the monotonic clock. Without the saved time, a process that starts while a
     * version is due would allow older versions for the whole bound once more: when an agent and its entries restarted
     * 5 s after a version was named, it took up to 13 s instead of 8.
     */
    private long learnedMillis(OperatorRecord.WeightsNamed named) {
        long unixNow = unixMillis.getAsLong();
        long ago = unixNow - named.namedMillis().orElse(unixNow);
        return steadyMillis.getAsLong() - Math.max(0, ago);
    }

    /**
     * The newest versions that are not known to be saved in the store under their own keys. Versions that were reported
     * only by a peer are excluded: a wrong report would outlive all processes.
     */
    List<Unkept> unkept(TopicCopy kept) {
        List<Unkept> all = new ArrayList<>();
        byOperator.forEach((model, newest) -> {
            if (kept.record(VersionKeys.of(model, newest.version())).isEmpty()) {
                List<String> outdated = VersionKeys.outdated(kept.keys(), model, newest.version());
                all.add(new Unkept.Weights(model, newest.version(), namedMillis(newest), outdated));
            }
        });
        return all;
    }

    private OptionalLong namedMillis(View.Target target) {
        long ago = steadyMillis.getAsLong() - target.learnedMillis();
        return target.seenNamed() ? OptionalLong.of(unixMillis.getAsLong() - ago) : OptionalLong.empty();
    }
}
