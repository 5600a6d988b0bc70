package org.micabarrow.views;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.micabarrow.views.RecordDecoder.OperatorRecord;
import org.micabarrow.views.View.TargetSource;

/**
 * Target weight versions as named by operators, and as saved in the store by processes together with the time of day at
 * which they learned of them. Not thread-safe.
 */
final class WeightTargets {

    private final LongSupplier monotonicMillis;
    private final LongSupplier unixMillis;

    /** The newest version of each model that was read from operator records. */
    private final Map<String, View.Target> newestByModel = new HashMap<>();

    /** The records of those versions. The topic copy loses a record when an older version is written late. */
    private final Map<String, StoredRecord> recordsByModel = new HashMap<>();

    WeightTargets(LongSupplier monotonicMillis, LongSupplier unixMillis) {
        this.monotonicMillis = monotonicMillis;
        this.unixMillis = unixMillis;
    }

    /** Whether a version is newer than those that were read from operator records. */
    boolean isNewer(String model, long version) {
        View.Target newest = newestByModel.get(model);
        return newest == null || newest.version() < version;
    }

    /** Records a version that was read from an operator record. */
    View.Target recordNamed(StoredRecord record, String model, long version, boolean namingObserved) {
        TargetSource source = namingObserved ? TargetSource.OBSERVED : TargetSource.FOUND_WITHOUT_TIME;
        View.Target target = new View.Target(version, monotonicMillis.getAsLong(), source);
        if (newestByModel.merge(model, target, (a, b) -> a.version() >= b.version() ? a : b) == target) {
            recordsByModel.put(model, record);
        }
        return target;
    }

    /** The records of the newest versions, where their offset is at or after the given one. */
    List<StoredRecord> newestRecords(long offset) {
        return recordsByModel.values().stream()
                .filter(record -> record.offset() >= offset)
                .toList();
    }

    // -- records saved by processes

    /**
     * Returns only the newest saved version of each model. It is not known when the others were named, and they must
     * not appear to be still allowed to serve.
     */
    Map<String, View.Target> newestSaved(List<OperatorRecord> savedRecords) {
        Map<String, View.Target> newest = new HashMap<>();
        for (OperatorRecord item : savedRecords) {
            if (item instanceof OperatorRecord.WeightsNamed named) {
                newest.merge(named.model(), toTarget(named), (a, b) -> a.version() >= b.version() ? a : b);
            }
        }
        return newest;
    }

    private View.Target toTarget(OperatorRecord.WeightsNamed named) {
        TargetSource source =
                named.namedMillis().isPresent() ? TargetSource.FOUND_WITH_TIME : TargetSource.FOUND_WITHOUT_TIME;
        return new View.Target(named.version(), learnedAtMillis(named), source);
    }

    /**
     * Returns when a version was named, on the monotonic clock. Without the saved time, a process that starts while a
     * version is due would allow older versions for the whole bound once more: when an agent and its entries restarted
     * 5 s after a version was named, it took up to 13 s instead of 8.
     */
    private long learnedAtMillis(OperatorRecord.WeightsNamed named) {
        long unixNow = unixMillis.getAsLong();
        long elapsedMillis = unixNow - named.namedMillis().orElse(unixNow);
        return monotonicMillis.getAsLong() - Math.max(0, elapsedMillis);
    }

    /**
     * The newest versions that are not known to be saved in the store under their own keys. Versions that were reported
     * only by a peer are excluded: a wrong report would outlive all processes.
     */
    List<UnsavedItem> unsaved(TopicCopy savedCopy) {
        List<UnsavedItem> unsaved = new ArrayList<>();
        newestByModel.forEach((model, newest) -> {
            if (savedCopy.record(VersionKeys.ofVersion(model, newest.version())).isEmpty()) {
                List<String> outdated = VersionKeys.outdatedVersions(savedCopy.keys(), model, newest.version());
                unsaved.add(new UnsavedItem.Weights(model, newest.version(), namedMillis(newest), outdated));
            }
        });
        return unsaved;
    }

    private OptionalLong namedMillis(View.Target target) {
        long elapsedMillis = monotonicMillis.getAsLong() - target.learnedAtMillis();
        return target.namingObserved() ? OptionalLong.of(unixMillis.getAsLong() - elapsedMillis) : OptionalLong.empty();
    }
}
