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
 * Weight versions as operators named them, and as processes kept them in the store with the time of day at which they learned
 * of them. Not safe for several threads at once.
 */
final class NamedTargets {

    private final LongSupplier steadyMillis;
    private final LongSupplier unixMillis;

    /** The newest version of each model that was read from what operators wrote. */
    private final Map<String, View.Target> byOperator = new HashMap<>();

    /** Their records: an older version that is written late takes their place in the copy of the topic. */
    private final Map<String, StoredRecord> records = new HashMap<>();

    NamedTargets(LongSupplier steadyMillis, LongSupplier unixMillis) {
        this.steadyMillis = steadyMillis;
        this.unixMillis = unixMillis;
    }

    /** Takes note of a version that was read from what operators wrote. */
    View.Target byOperator(StoredRecord record, String model, long version, boolean seenNamed) {
        Learned learned = seenNamed ? Learned.SEEN_NAMED : Learned.FOUND;
        View.Target target = new View.Target(version, steadyMillis.getAsLong(), learned);
        if (byOperator.merge(model, target, (a, b) -> a.version() >= b.version() ? a : b) == target) {
            records.put(model, record);
        }
        return target;
    }

    /** The records of the newest versions at or after an offset. */
    List<StoredRecord> newestRecords(long offset) {
        return records.values().stream()
                .filter(record -> record.offset() >= offset)
                .toList();
    }

    // -- what is kept in the store

    /**
     * The newest kept version of each model alone: when the others were named is not known, so that they must not seem to be good
     * to answer for a while.
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
     * When a version was named, on the steady clock. A process that starts while a version is due would give older ones the
     * whole bound once more: with an agent and its entries started again 5 s after the naming, up to 13 s instead of 8.
     */
    private long learnedMillis(OperatorRecord.WeightsNamed named) {
        long unixNow = unixMillis.getAsLong();
        long ago = unixNow - named.namedMillis().orElse(unixNow);
        return steadyMillis.getAsLong() - Math.max(0, ago);
    }

    /**
     * The newest versions that are not known to lie in the store under a key of their own. What only a peer told is none of them:
     * a wrong word would outlast every process.
     */
    List<UnsavedItem> unkept(TopicCopy kept) {
        List<UnsavedItem> all = new ArrayList<>();
        byOperator.forEach((model, newest) -> {
            if (kept.record(VersionKeys.of(model, newest.version())).isEmpty()) {
                List<String> outdated = VersionKeys.outdated(kept.keys(), model, newest.version());
                all.add(new UnsavedItem.Weights(model, newest.version(), namedMillis(newest), outdated));
            }
        });
        return all;
    }

    private OptionalLong namedMillis(View.Target target) {
        long ago = steadyMillis.getAsLong() - target.learnedMillis();
        return target.seenNamed() ? OptionalLong.of(unixMillis.getAsLong() - ago) : OptionalLong.empty();
    }
}
