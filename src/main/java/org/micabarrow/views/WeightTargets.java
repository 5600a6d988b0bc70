package org.micabarrow.views;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.micabarrow.views.RecordDecoder.OperatorRecord;
import org.micabarrow.views.View.TargetSource;

/**
 * Target weight versions as named by operators, and as saved in the store by processes together with the time of day at
 * which they were named. Not thread-safe.
 */
final class WeightTargets {

    /** How many versions of a model are remembered as read from operator records: as many as a view holds. */
    private static final int MAX_REMEMBERED = 8;

    private final LongSupplier monotonicMillis;
    private final LongSupplier unixMillis;

    /**
     * The records from which versions were read, by model and version. The topic copy loses a record when an older
     * version is written late.
     */
    private final Map<String, TreeMap<Long, StoredRecord>> recordsByModel = new HashMap<>();

    /**
     * The newest version of each model that was named before the latest records were read, and that these did not show.
     */
    private final Map<String, Long> replacedByModel = new HashMap<>();

    /**
     * A version that a process saved.
     *
     * @param model the model
     * @param target the version, with the time at which it was named if that was saved
     */
    record SavedTarget(String model, View.Target target) {}

    WeightTargets(LongSupplier monotonicMillis, LongSupplier unixMillis) {
        this.monotonicMillis = monotonicMillis;
        this.unixMillis = unixMillis;
    }

    /** Whether a version is newer than those that were read from operator records. */
    boolean isNewer(String model, long version) {
        TreeMap<Long, StoredRecord> read = recordsByModel.get(model);
        return read == null || read.lastKey() < version;
    }

    /** Records that a version was read from an operator record. */
    void recordNamed(StoredRecord record, String model, long version) {
        TreeMap<Long, StoredRecord> read = recordsByModel.computeIfAbsent(model, key -> new TreeMap<>());
        read.putIfAbsent(version, record);
        if (read.size() > MAX_REMEMBERED) {
            read.pollFirstEntry();
        }
    }

    /** Records that a version was named before the latest records were read, which did not show it. */
    void recordReplaced(String model, long version) {
        replacedByModel.merge(model, version, Math::max);
    }

    /** The models of which versions were read from operator records. */
    Set<String> namedModels() {
        return Set.copyOf(recordsByModel.keySet());
    }

    /** The records of the newest versions, where their offset is at or after the given one. */
    List<StoredRecord> newestRecords(long offset) {
        return recordsByModel.values().stream()
                .map(read -> read.lastEntry().getValue())
                .filter(record -> record.offset() >= offset)
                .toList();
    }

    /** The versions of a view that operators named for certain, in the order in which they were named. */
    private List<View.Target> certainTargets(String model, View view) {
        TreeMap<Long, StoredRecord> read = recordsByModel.get(model);
        return view.targets().getOrDefault(model, List.of()).stream()
                .filter(target -> read.containsKey(target.version()) || isReplaced(model, target))
                .toList();
    }

    // -- accounts for other processes

    /**
     * What is known of when versions were named. Versions that were reported only by a peer are excluded, since a wrong
     * report would be passed on for good.
     */
    List<NamingAccount> accounts(View view) {
        List<NamingAccount> accounts = new ArrayList<>();
        recordsByModel
                .keySet()
                .forEach(model -> certainTargets(model, view).stream()
                        .filter(View.Target::namingObserved)
                        .forEach(target -> target.naming()
                                .notBeforeMillis()
                                .ifPresent(notBefore ->
                                        accounts.add(new NamingAccount(model, target.version(), notBefore)))));
        return accounts;
    }

    // -- records saved by processes

    /**
     * Returns the newest saved version of each model, and the earlier ones whose time of naming was saved, which
     * determine by when still earlier versions must have stopped. It is not known when the others were named, and they
     * must not appear to be still allowed to serve.
     *
     * @param savedRecords the decoded records
     * @return the versions, those of a model in the order in which they were named
     */
    List<SavedTarget> saved(List<OperatorRecord> savedRecords) {
        Map<String, TreeMap<Long, OperatorRecord.WeightsNamed>> savedByModel = new HashMap<>();
        for (OperatorRecord item : savedRecords) {
            if (item instanceof OperatorRecord.WeightsNamed named) {
                savedByModel
                        .computeIfAbsent(named.model(), model -> new TreeMap<>())
                        .put(named.version(), named);
            }
        }
        List<SavedTarget> saved = new ArrayList<>();
        savedByModel.forEach((model, versions) -> versions.values().stream()
                .filter(named -> named.namedMillis().isPresent() || named.version() == versions.lastKey())
                .forEach(named -> saved.add(new SavedTarget(model, toTarget(named)))));
        return saved;
    }

    private View.Target toTarget(OperatorRecord.WeightsNamed named) {
        TargetSource source =
                named.namedMillis().isPresent() ? TargetSource.FOUND_WITH_TIME : TargetSource.FOUND_WITHOUT_TIME;
        return new View.Target(named.version(), NamingTime.at(namedAtMillis(named)), source);
    }

    /**
     * Returns when a version was named, on the monotonic clock, or the latest time at which that may have been. Without the saved time, a process that starts while a
     * version is due would allow older versions for the whole bound once more: when an agent and its entries restarted
     * 5 s after a version was named, it took up to 13 s instead of 8.
     */
    private long namedAtMillis(OperatorRecord.WeightsNamed named) {
        long unixNow = unixMillis.getAsLong();
        long namedMillis = named.namedMillis().orElse(named.namedByMillis().orElse(unixNow));
        long elapsedMillis = unixNow - namedMillis;
        return monotonicMillis.getAsLong() - Math.max(0, elapsedMillis);
    }

    /**
     * The newest versions, and those named shortly before them, that are not known to be saved in the store under their
     * own keys. Versions that were reported only by a peer are excluded: a wrong report would outlive all processes.
     */
    List<UnsavedItem> unsaved(TopicCopy savedCopy, View view) {
        List<UnsavedItem> unsaved = new ArrayList<>();
        recordsByModel.forEach((model, read) -> {
            long newest = Math.max(read.lastKey(), replacedByModel.getOrDefault(model, 0L));
            for (View.Target target : certainTargets(model, view)) {
                boolean needed = target.namingObserved() || target.version() == newest;
                if (needed && isUnsaved(savedCopy, model, target.version())) {
                    unsaved.add(unsaved(savedCopy, model, target));
                }
            }
        });
        return unsaved;
    }

    private boolean isReplaced(String model, View.Target target) {
        return target.version() == replacedByModel.getOrDefault(model, 0L);
    }

    private static boolean isUnsaved(TopicCopy savedCopy, String model, long version) {
        return savedCopy.record(VersionKeys.ofVersion(model, version)).isEmpty();
    }

    private UnsavedItem unsaved(TopicCopy savedCopy, String model, View.Target target) {
        return new UnsavedItem.Weights(
                model,
                target.version(),
                target.namingObserved() ? namedUnixMillis(target) : OptionalLong.empty(),
                isReplaced(model, target) ? namedUnixMillis(target) : OptionalLong.empty(),
                VersionKeys.outdatedVersions(savedCopy.keys(), model, target.version()));
    }

    private OptionalLong namedUnixMillis(View.Target target) {
        long elapsedMillis = monotonicMillis.getAsLong() - target.namedAtMillis();
        return OptionalLong.of(unixMillis.getAsLong() - elapsedMillis);
    }
}
