package org.micabarrow.views;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.micabarrow.platform.StoreRecords;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.views.NamedVersions.Unkept;
import org.micabarrow.views.ViewKeeper.Topic;

/** Which weight versions were named, through writes that come late, lost answers and processes that start again. */
class NamedVersionsTest {

    private final FakeStore store = new FakeStore();
    private final AtomicBoolean writes = new AtomicBoolean(true);
    private final AtomicLong steady = new AtomicLong(1_000_000);
    private final AtomicLong unix = new AtomicLong(1_764_718_674_123L);

    /** A store of keyed topics, whose answers may fail. */
    private static final class FakeStore implements TopicReader, NamedVersions.VersionWriter {

        private final Map<Topic, List<StoredRecord>> topics = new LinkedHashMap<>();
        private final List<Topic> readNewest = new ArrayList<>();
        private boolean down;
        private boolean losesAnswers;
        private int writes;

        private synchronized long append(Topic topic, String key, String value) {
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
            return Result.success(new Read.Records(new Batch(List.of(), from)));
        }

        @Override
        public Result<List<StoredRecord>> write(Unkept unkept) {
            writes++;
            if (down) {
                return failed();
            }
            List<StoredRecord> written = new ArrayList<>();
            String key = VersionKeys.of(unkept.model(), unkept.version());
            long offset = append(Topic.NAMED, key, kept(unkept));
            written.add(topics.get(Topic.NAMED).get((int) offset));
            for (String outdated : unkept.outdated()) {
                written.add(topics.get(Topic.NAMED).get((int) append(Topic.NAMED, outdated, "")));
            }
            return losesAnswers ? failed() : Result.success(written);
        }

        private static <T> Result<T> failed() {
            return Result.failure(Fault.of(Fault.Step.LOG, "store", Fault.Reason.TIMEOUT, "no answer"));
        }
    }

    private static String kept(Unkept unkept) {
        String named = unkept.namedMillis().isPresent()
                ? ",\"namedMillis\":" + unkept.namedMillis().getAsLong()
                : "";
        return named(unkept.model(), unkept.version()).replace("}", named + "}");
    }

    private static String named(String model, long version) {
        return "{\"model\":\"" + model + "\",\"version\":" + version + "}";
    }

    private void operatorNames(long version) {
        store.append(Topic.OPERATOR, "version/m", named("m", version));
    }

    /** A process that has read what operators wrote. */
    private final class Node {

        private final ViewKeeper keeper = new ViewKeeper(new StoreRecords(), steady::get, unix::get);
        private final NamedVersions versions = new NamedVersions(store, store, keeper, writes::get);
        private final StoreFollower follower = new StoreFollower(
                Topic.OPERATOR,
                versions,
                keeper,
                topic -> {},
                new StoreFollower.Pace(Duration.ofMillis(10), Duration.ofMillis(5)));

        private Node() {
            follower.once();
        }

        private long newest() {
            return keeper.view().newestTarget("m").map(View.Target::version).orElse(0L);
        }
    }

    @Test
    void shouldKnowNewestVersionWhenOlderOneIsWrittenAfterIt() {
        operatorNames(3);
        new Node().versions.look();
        operatorNames(2);
        assertEquals(3, new Node().newest());
    }

    @Test
    void shouldNotTakeOlderVersionsThatAreKeptForNamedNow() {
        for (long version = 1; version <= 3; version++) {
            operatorNames(version);
            new Node().versions.look();
        }
        assertEquals(
                List.of(3L),
                new Node()
                        .keeper.view().targets().get("m").stream()
                                .map(View.Target::version)
                                .toList(),
                "an older one would seem good to answer until its bound is over");
    }

    @Test
    void shouldWriteVersionOnce() {
        operatorNames(2);
        Node node = new Node();
        node.versions.look();
        node.versions.look();
        new Node().versions.look();
        assertEquals(1, store.writes);
    }

    @Test
    void shouldWriteAgainWhenAnswerIsLost() {
        operatorNames(2);
        Node node = new Node();
        store.losesAnswers = true;
        node.versions.look();
        store.losesAnswers = false;
        node.versions.look();
        node.versions.look();
        assertEquals(2, store.writes);
        assertEquals(2, new Node().newest());
    }

    @Test
    void shouldWriteNothingWhenOthersDo() {
        writes.set(false);
        operatorNames(2);
        new Node().versions.look();
        assertEquals(0, store.writes);
    }

    @Test
    void shouldFollowOperatorWhenKeptVersionsCannotBeReadAndRecallThemLater() {
        operatorNames(3);
        new Node().versions.look();
        operatorNames(2);
        store.down = true;
        Node fresh = new Node();
        assertEquals(2, fresh.newest(), "a manifest must not wait for what only helps against late writes");
        store.down = false;
        fresh.versions.look();
        assertEquals(3, fresh.newest());
    }

    @Test
    void shouldRecallAgainWhenNewestRecordsAreReadAgain() {
        operatorNames(2);
        Node node = new Node();
        node.versions.newest(Topic.OPERATOR);
        assertEquals(
                List.of(Topic.NAMED, Topic.OPERATOR, Topic.NAMED, Topic.OPERATOR),
                store.readNewest,
                "what was read on may have hidden a version");
    }

    @Test
    void shouldDropVersionsThatAreLongReplaced() {
        for (long version = 1; version <= 30; version++) {
            operatorNames(version);
            new Node().versions.look();
        }
        Node fresh = new Node();
        assertEquals(30, fresh.newest());
        assertEquals(
                9,
                store.newest(Topic.NAMED).toOptional().orElseThrow().records().size());
    }

    @Test
    void shouldPassOverKeptRecordThatCannotBeRead() {
        operatorNames(2);
        store.append(Topic.NAMED, "version/m/9", "{");
        store.append(Topic.NAMED, "else", "{}");
        Node node = new Node();
        node.versions.look();
        assertEquals(2, node.newest());
        assertEquals(1, store.writes);
    }

    @Test
    void shouldTakeKeptVersionsForFoundAtStart() {
        operatorNames(2);
        new Node().versions.look();
        Node fresh = new Node();
        assertFalse(fresh.keeper.view().newestTarget("m").orElseThrow().seenNamed());
        fresh.keeper.apply(
                Topic.OPERATOR,
                List.of(new StoredRecord("version/m", 7, named("m", 3).getBytes(StandardCharsets.UTF_8))),
                8);
        assertTrue(fresh.keeper.view().newestTarget("m").orElseThrow().seenNamed());
    }

    // -- when a version was named

    private void pass(long millis) {
        steady.addAndGet(millis);
        unix.addAndGet(millis);
    }

    private long least(Node node) {
        return node.keeper.view().leastVersion("m", 8_000, steady.get());
    }

    /** A process that runs sees version 2 being named and keeps it. */
    private void nameVersionTwo() {
        Node running = new Node();
        running.keeper.apply(
                Topic.OPERATOR,
                List.of(new StoredRecord("version/m", 3, named("m", 2).getBytes(StandardCharsets.UTF_8))),
                4);
        pass(400);
        running.versions.look();
    }

    @Test
    void shouldCountTimeSinceNamingWhenProcessStartsWhileVersionIsDue() {
        nameVersionTwo();
        pass(5_000);
        steady.set(70);
        Node fresh = new Node();
        assertEquals(0, least(fresh));
        pass(2_700);
        assertEquals(2, least(fresh), "8.1 s after the naming");
    }

    @Test
    void shouldCountFromStartWhenClockIsBehind() {
        nameVersionTwo();
        unix.addAndGet(-9_000);
        Node fresh = new Node();
        pass(7_900);
        assertEquals(0, least(fresh));
        pass(200);
        assertEquals(2, least(fresh));
    }

    @Test
    void shouldNotSayWhenVersionWasNamedIfItWasFoundNamed() {
        operatorNames(2);
        new Node().versions.look();
        pass(60_000);
        assertEquals(
                0, least(new Node()), "a process that started late would have made the version look newer or older");
    }
}
