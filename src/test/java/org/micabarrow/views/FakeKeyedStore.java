package org.micabarrow.views;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;

/** A store of keyed topics that can simulate failures. */
final class FakeKeyedStore implements TopicReader, VersionPersistence.VersionWriter {

    final Map<Topic, List<StoredRecord>> topics = new LinkedHashMap<>();
    final List<Topic> latestReads = new ArrayList<>();
    boolean down;
    boolean loseResponses;
    boolean refuseWrites;

    /** How many of the next writes are refused. */
    int writesToRefuse;

    boolean historyExpired;
    boolean failReads;

    /** The first offset of operator records that can still be read. */
    long firstRetained;

    int operatorReads;
    int writeCount;
    long era;

    synchronized long append(Topic topic, String key, String value) {
        List<StoredRecord> records = topics.computeIfAbsent(topic, name -> new ArrayList<>());
        records.add(new StoredRecord(key, EraOffset.of(era, records.size()), value.getBytes(StandardCharsets.UTF_8)));
        return records.size() - 1L;
    }

    /** Continues from an older copy, which lacks all records of a topic. */
    synchronized void restoreWithout(Topic lost) {
        era++;
        topics.remove(lost);
        topics.replaceAll((topic, records) -> records.stream()
                .map(record -> new StoredRecord(
                        record.key(), EraOffset.of(era, EraOffset.offset(record.offset())), record.value()))
                .collect(Collectors.toCollection(ArrayList::new)));
    }

    @Override
    public Result<Batch> readLatest(Topic topic) {
        latestReads.add(topic);
        if (down && topic == Topic.NAMED) {
            return failure();
        }
        List<StoredRecord> all = topics.getOrDefault(topic, List.of());
        Map<String, StoredRecord> latest = new LinkedHashMap<>();
        all.forEach(record -> latest.put(record.key(), record));
        latest.values().removeIf(StoredRecord::isTombstone);
        return Result.success(new Batch(List.copyOf(latest.values()), EraOffset.of(era, all.size())));
    }

    @Override
    public Result<Read> read(Topic topic, long from, Duration wait) {
        operatorReads += topic == Topic.OPERATOR ? 1 : 0;
        if (failReads) {
            return failure();
        }
        if (historyExpired || EraOffset.era(from) < era) {
            return Result.success(new Read.Expired());
        }
        if (topic == Topic.OPERATOR && EraOffset.offset(from) < firstRetained) {
            return Result.success(new Read.Expired(OptionalLong.of(EraOffset.of(era, firstRetained))));
        }
        List<StoredRecord> all = topics.getOrDefault(topic, List.of());
        return Result.success(new Read.Records(new Batch(
                all.subList((int) Math.min(EraOffset.offset(from), all.size()), all.size()),
                EraOffset.of(era, all.size()))));
    }

    @Override
    public Result<List<StoredRecord>> write(UnsavedItem item, OptionalLong readTo) {
        writeCount++;
        if (down || refuseWrites || writesToRefuse-- > 0) {
            return failure();
        }
        List<StoredRecord> saved = new ArrayList<>();
        long offset = append(Topic.NAMED, item.key(), json(item, readTo));
        saved.add(topics.get(Topic.NAMED).get((int) offset));
        for (String outdated : item.outdated()) {
            saved.add(topics.get(Topic.NAMED).get((int) append(Topic.NAMED, outdated, "")));
        }
        return loseResponses ? failure() : Result.success(saved);
    }

    private static <T> Result<T> failure() {
        return Result.failure(Fault.of(Fault.Step.LOG, "store", Fault.Reason.TIMEOUT, "no answer"));
    }

    private static String json(UnsavedItem item, OptionalLong readTo) {
        String json = json(item);
        return readTo.isEmpty()
                ? json
                : json.substring(0, json.length() - 1) + ",\"readTo\":" + EraOffset.offset(readTo.getAsLong())
                        + ",\"readToEra\":" + EraOffset.era(readTo.getAsLong()) + "}";
    }

    private static String json(UnsavedItem item) {
        return switch (item) {
            case UnsavedItem.Weights weights -> {
                String named = weights.namedMillis().isPresent()
                        ? ",\"namedMillis\":" + weights.namedMillis().getAsLong()
                        : weights.namedByMillis().isPresent()
                                ? ",\"namedByMillis\":"
                                        + weights.namedByMillis().getAsLong()
                                : "";
                yield named(weights.model(), weights.version()).replace("}", named + "}");
            }
            case UnsavedItem.Manifest manifest ->
                "{\"version\":" + manifest.version() + ",\"offset\":" + manifest.offset() + "}";
        };
    }

    static String named(String model, long version) {
        return "{\"model\":\"" + model + "\",\"version\":" + version + "}";
    }
}
