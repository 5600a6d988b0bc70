package org.micabarrow.views;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;

/** A store of keyed topics, whose answers may fail. */
final class FakeKeyedStore implements TopicReader, VersionPersistence.VersionWriter {

    final Map<Topic, List<StoredRecord>> topics = new LinkedHashMap<>();
    final List<Topic> readNewest = new ArrayList<>();
    boolean down;
    boolean losesAnswers;
    boolean refusesWrites;
    boolean historyGone;
    int writes;

    synchronized long append(Topic topic, String key, String value) {
        List<StoredRecord> records = topics.computeIfAbsent(topic, name -> new ArrayList<>());
        records.add(new StoredRecord(key, records.size(), value.getBytes(StandardCharsets.UTF_8)));
        return records.size() - 1L;
    }

    @Override
    public Result<Batch> newest(Topic topic) {
        readNewest.add(topic);
        if (down && topic == Topic.NAMED) {
            return failed();
        }
        List<StoredRecord> all = topics.getOrDefault(topic, List.of());
        Map<String, StoredRecord> newest = new LinkedHashMap<>();
        all.forEach(record -> newest.put(record.key(), record));
        newest.values().removeIf(StoredRecord::dropped);
        return Result.success(new Batch(List.copyOf(newest.values()), all.size()));
    }

    @Override
    public Result<Read> read(Topic topic, long from, Duration wait) {
        if (historyGone) {
            return Result.success(new Read.Expired());
        }
        List<StoredRecord> all = topics.getOrDefault(topic, List.of());
        return Result.success(new Read.Records(new Batch(
                all.subList((int) Math.min(from, all.size()), all.size()), all.size())));
    }

    @Override
    public Result<List<StoredRecord>> write(UnsavedItem unkept) {
        writes++;
        if (down || refusesWrites) {
            return failed();
        }
        List<StoredRecord> written = new ArrayList<>();
        long offset = append(Topic.NAMED, unkept.key(), kept(unkept));
        written.add(topics.get(Topic.NAMED).get((int) offset));
        for (String outdated : unkept.outdated()) {
            written.add(topics.get(Topic.NAMED).get((int) append(Topic.NAMED, outdated, "")));
        }
        return losesAnswers ? failed() : Result.success(written);
    }

    private static <T> Result<T> failed() {
        return Result.failure(Fault.of(Fault.Step.LOG, "store", Fault.Reason.TIMEOUT, "no answer"));
    }

    private static String kept(UnsavedItem unkept) {
        return switch (unkept) {
            case UnsavedItem.Weights weights -> {
                String named = weights.namedMillis().isPresent()
                        ? ",\"namedMillis\":" + weights.namedMillis().getAsLong()
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
