package org.micabarrow.views;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.micabarrow.platform.StoreRecords;
import org.micabarrow.views.TopicReader.Batch;

/** Tests from when the bound of older versions is counted, by how a process learns of a version. */
class NamingTimeTest {

    private static final long DELIVERY_MILLIS = NamingTime.MAX_DELIVERY_MILLIS;

    private final AtomicLong now = new AtomicLong(100_000);
    private final ViewMaintainer views = new ViewMaintainer(new StoreRecords(), now::get);

    private static StoredRecord named(long version, long offset) {
        String json = "{\"model\":\"m\",\"version\":" + version + "}";
        return new StoredRecord("version/m", offset, json.getBytes(StandardCharsets.UTF_8));
    }

    private void load() {
        views.replace(Topic.OPERATOR, List.of(), 0);
    }

    private void read(OptionalLong notBefore, List<NamingAccount> accounts, StoredRecord... records) {
        long end = records.length == 0 ? views.end(Topic.OPERATOR) : records[records.length - 1].offset() + 1;
        views.apply(Topic.OPERATOR, new Batch(List.of(records), end, OptionalLong.empty(), notBefore, accounts));
    }

    private long namedAt(long version) {
        return views.view().targets().get("m").stream()
                .filter(target -> target.version() == version)
                .findFirst()
                .orElseThrow()
                .namedAtMillis();
    }

    // -- the time itself

    /** Whatever is known, a bound counted from the assumed time ends at most one delivery after the true one. */
    @Property
    void shouldNeverCountFromMuchLaterThanNaming(
            @ForAll @IntRange(max = 10_000) int named,
            @ForAll @IntRange(max = 10_000) int learnedAfter,
            @ForAll @IntRange(max = 10_000) int knownBefore,
            @ForAll @IntRange(max = 10_000) int toldBefore) {
        NamingTime own = new NamingTime(named + learnedAfter, OptionalLong.of(named - knownBefore));
        NamingTime told = own.withNotBefore(named - toldBefore);
        assertTrue(own.assumedMillis() <= named + DELIVERY_MILLIS);
        assertTrue(told.assumedMillis() <= named + DELIVERY_MILLIS);
        assertTrue(told.assumedMillis() >= own.assumedMillis());
    }

    @Test
    void shouldNotCountFromLaterThanLearningWhenAccountIsWrong() {
        NamingTime wrong = new NamingTime(500, OptionalLong.of(100)).withNotBefore(90_000);
        assertEquals(500, wrong.assumedMillis());
    }

    // -- what a process knows itself

    @Test
    void shouldCountFromLearningWhenNothingElseIsKnown() {
        load();
        read(OptionalLong.empty(), List.of(), named(2, 0));
        assertEquals(100_000, namedAt(2));
    }

    @Test
    void shouldCountFromLastKnowledgeWhenVersionIsLearnedLate() {
        load();
        views.confirmOperator(0, 99_000);
        now.set(105_000);
        read(OptionalLong.empty(), List.of(), named(2, 0));
        assertEquals(99_000 + DELIVERY_MILLIS, namedAt(2));
    }

    @Test
    void shouldCountFromLastKnowledgeWhenPeerReportsVersionAfterPause() {
        load();
        views.confirmTargets(0, 99_500);
        now.set(106_000);
        views.addPeerTarget("m", 2);
        assertEquals(99_500 + DELIVERY_MILLIS, namedAt(2));
    }

    @Test
    void shouldCountFromLearningWhenStoreAnswersHeldReadAtOnce() {
        load();
        views.confirmOperator(0, 99_000);
        read(OptionalLong.of(99_900), List.of(), named(2, 0));
        assertEquals(100_000, namedAt(2));
    }

    /** What passed while the store could not be read says nothing about the naming. */
    @Test
    void shouldCountFromLearningWhenStoreWasLostBefore() {
        load();
        views.confirmOperator(0, 60_000);
        views.onStoreLost(Topic.OPERATOR);
        read(OptionalLong.empty(), List.of(), named(2, 0));
        assertEquals(100_000, namedAt(2));
    }

    /** A store that continues from an older copy gets the record again, long after the naming. */
    @Test
    void shouldKeepTimeWhenRecordOfKnownVersionIsWrittenAgain() {
        load();
        views.confirmOperator(0, 99_000);
        read(OptionalLong.empty(), List.of(), named(2, 0));
        now.set(103_000);
        views.confirmOperator(1, 102_900);
        read(OptionalLong.of(102_900), List.of(), named(2, 1));
        assertEquals(99_000 + DELIVERY_MILLIS, namedAt(2));
    }

    /** Knowledge of the records before an offset says nothing of a version beyond it. */
    @Test
    void shouldNotConfirmTargetsWhenRecordsAreMissing() {
        load();
        views.confirmTargets(0, 99_000);
        views.confirmTargets(1, 99_990);
        read(OptionalLong.empty(), List.of(), named(2, 0));
        assertEquals(99_000 + DELIVERY_MILLIS, namedAt(2));
    }

    // -- what others tell

    @Test
    void shouldCountFromPeersAccountWhenItIsNarrower() {
        load();
        views.confirmTargets(0, 99_000);
        now.set(106_000);
        views.addPeerTarget("m", 2);
        read(OptionalLong.empty(), List.of(new NamingAccount("m", 2, 100_020)), named(2, 0));
        assertEquals(100_020 + DELIVERY_MILLIS, namedAt(2));
    }

    /** A process that was paused while two versions were named reads the newest record alone. */
    @Test
    void shouldCountFromEarlierVersionWhenOnlyPeersAccountNamesIt() {
        load();
        views.confirmTargets(0, 99_000);
        now.set(106_000);
        views.addPeerTarget("m", 3);
        read(
                OptionalLong.empty(),
                List.of(new NamingAccount("m", 2, 100_000), new NamingAccount("m", 3, 103_000)),
                named(3, 1));
        assertEquals(2, views.view().nextTarget("m", 1).orElseThrow().version());
        assertEquals(100_000 + DELIVERY_MILLIS, namedAt(2));
        assertEquals(103_000 + DELIVERY_MILLIS, namedAt(3));
        assertEquals(3, views.view().newestTarget("m").orElseThrow().version());
    }

    @Test
    void shouldTakeNoAccountBeforeStoreWasRead() {
        read(OptionalLong.empty(), List.of(new NamingAccount("m", 2, 99_000)), named(2, 0));
        assertEquals(100_000, namedAt(2));
        assertFalse(views.view().newestTarget("m").orElseThrow().namingObserved());
    }

    @Test
    void shouldTellOnlyOfVersionsThatItReadItself() {
        load();
        views.confirmTargets(0, 99_000);
        views.addPeerTarget("m", 2);
        assertEquals(List.of(), views.since(Topic.OPERATOR, 0).accounts());
        read(OptionalLong.empty(), List.of(), named(2, 0));
        assertEquals(
                List.of(new NamingAccount("m", 2, 99_000)),
                views.since(Topic.OPERATOR, 0).accounts());
    }
}
