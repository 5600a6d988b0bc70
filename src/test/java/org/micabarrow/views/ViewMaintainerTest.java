package org.micabarrow.views;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.platform.StoreRecords;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.views.TopicReader.Batch;
import org.slf4j.LoggerFactory;

/** What is believed of the store, through outages, expired history and peers. */
class ViewMaintainerTest {

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final ViewMaintainer keeper = new ViewMaintainer(new StoreRecords(), now::get);

    private static StoredRecord record(String key, long offset, String value) {
        return new StoredRecord(key, offset, value.getBytes(StandardCharsets.UTF_8));
    }

    private static StoredRecord endpoint(String id, long offset) {
        return record(
                id,
                offset,
                "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":4,\"state\":\"ready\"}");
    }

    private static StoredRecord manifest(long version, long offset) {
        return record("config", offset, "{\"version\":" + version + ",\"routes\":[],\"services\":[]}");
    }

    private void endpoints(long end, StoredRecord... records) {
        keeper.apply(Topic.ENDPOINTS, List.of(records), end);
    }

    private boolean known(String id) {
        return keeper.view().endpoints().containsKey(id);
    }

    private long version() {
        return keeper.view().manifest().orElseThrow().version();
    }

    // -- manifests

    @Test
    void shouldNotGoBackWhenPeerTellsOlderManifest() {
        keeper.apply(Topic.OPERATOR, List.of(manifest(7, 3)), 4);
        keeper.apply(Topic.OPERATOR, List.of(manifest(5, 2)), 3);
        assertEquals(7, version());
    }

    @Test
    void shouldNotGoBackWhenOlderManifestIsWrittenLate() {
        keeper.apply(Topic.OPERATOR, List.of(manifest(7, 3)), 4);
        keeper.apply(Topic.OPERATOR, List.of(manifest(5, 4)), 5);
        assertEquals(7, version());
        keeper.replace(Topic.OPERATOR, List.of(manifest(5, 4)), 5);
        assertEquals(7, version());
    }

    @Test
    void shouldKeepManifestWhenItsRecordDisappears() {
        keeper.apply(Topic.OPERATOR, List.of(manifest(7, 3)), 4);
        keeper.replace(Topic.OPERATOR, List.of(), 9);
        assertEquals(7, version());
    }

    @Test
    void shouldKeepManifestWhenNewOneIsBroken() {
        keeper.apply(Topic.OPERATOR, List.of(manifest(7, 3)), 4);
        keeper.apply(Topic.OPERATOR, List.of(record("config", 4, "{")), 5);
        assertEquals(7, version());
    }

    // -- weights

    private static StoredRecord named(long version, long offset) {
        return record("version/m", offset, "{\"model\":\"m\",\"version\":" + version + "}");
    }

    /**
     * Requests began on version 2 of a model 20 s after version 3 was acknowledged, when everything had started again. The late write
     * of version 2 stood after that of version 3 before most processes had asked a peer for it, and a peer tells the newest record of
     * a key: none of those that keep versions ever learned of version 3.
     */
    @Test
    void shouldLearnNewestVersionFromPeerWhenOlderOneWasWrittenLate() {
        keeper.apply(Topic.OPERATOR, List.of(named(3, 5), named(2, 6)), 7);
        ViewMaintainer asker = new ViewMaintainer(new StoreRecords(), now::get);
        TopicReader.Batch told = keeper.since(Topic.OPERATOR, 0);
        asker.apply(Topic.OPERATOR, told.records(), told.end());
        assertEquals(3, asker.view().newestTarget("m").orElseThrow().version());
        assertEquals(
                List.of(3L),
                asker.unkept().stream()
                        .map(one -> ((UnsavedItem.Weights) one).version())
                        .toList());
    }

    @Test
    void shouldDemandVersionOnceItsTimeIsOver() {
        keeper.want("m", 2);
        now.addAndGet(3_000);
        keeper.want("m", 3);
        now.addAndGet(5_500);
        assertEquals(2, keeper.view().leastVersion("m", 8_000, now.get()));
        now.addAndGet(3_000);
        assertEquals(3, keeper.view().leastVersion("m", 8_000, now.get()));
    }

    @Test
    void shouldNotForgetWhenVersionWasNamedIfItIsToldAgain() {
        keeper.want("m", 2);
        now.addAndGet(9_000);
        keeper.want("m", 2);
        keeper.want("m", 1);
        assertEquals(2, keeper.view().leastVersion("m", 8_000, now.get()));
    }

    @Test
    void shouldKnowWhetherItSawVersionBeingNamed() {
        StoredRecord found = record("version/m", 1, "{\"model\":\"m\",\"version\":2}");
        keeper.replace(Topic.OPERATOR, List.of(found), 2);
        assertFalse(keeper.view().newestTarget("m").orElseThrow().seenNamed());
        StoredRecord named = record("version/m", 2, "{\"model\":\"m\",\"version\":3}");
        keeper.apply(Topic.OPERATOR, List.of(named), 3);
        assertTrue(keeper.view().newestTarget("m").orElseThrow().seenNamed());
    }

    // -- endpoints

    @Test
    void shouldRemoveEndpointAtOnceWhenStoreIsWell() {
        endpoints(1, endpoint("a", 0));
        endpoints(2, record("a", 1, ""));
        assertFalse(known("a"));
    }

    @Test
    void shouldDoubtDropRightAfterStoreWasAway() {
        endpoints(1, endpoint("a", 0));
        keeper.regained(Topic.ENDPOINTS);
        endpoints(2, record("a", 1, ""));
        assertTrue(known("a"));
        endpoints(3, endpoint("a", 2));
        now.addAndGet(5_000);
        keeper.settleDoubts();
        assertTrue(known("a"), "it came back");
    }

    @Test
    void shouldRemoveDoubtedEndpointThatDoesNotComeBack() {
        endpoints(1, endpoint("a", 0));
        keeper.regained(Topic.ENDPOINTS);
        endpoints(2, record("a", 1, ""));
        now.addAndGet(2_400);
        keeper.settleDoubts();
        assertFalse(known("a"));
    }

    // -- endpoints that start again under their id

    private static StoredRecord started(String id, long offset, long startedMillis, String state, long version) {
        return record(
                id,
                offset,
                "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":4,\"state\":\"" + state
                        + "\",\"models\":[{\"name\":\"m\",\"version\":" + version + "}],\"born\":" + startedMillis
                        + "}");
    }

    private EndpointRegistration entry(String id) {
        return keeper.view().endpoints().get(id);
    }

    @Test
    void shouldBelieveNothingOfFormerStartWhenEndpointStartsAgain() {
        endpoints(1, started("a", 0, 5_000, "draining", 3));
        endpoints(2, started("a", 1, 9_000, "ready", 1));
        assertFalse(entry("a").leaving());
        assertEquals(1, entry("a").models().get("m"));
    }

    @Test
    void shouldNotGoBackToOlderStartWhenItsWriteComesLate() {
        endpoints(1, started("a", 0, 9_000, "ready", 1));
        now.addAndGet(3_000);
        endpoints(2, started("a", 1, 5_000, "draining", 3));
        assertFalse(entry("a").leaving());
        assertEquals(1, entry("a").models().get("m"));
    }

    @Test
    void shouldNotListEndpointAgainWhenWriteOfOlderStartComesAfterItsEntryWent() {
        endpoints(1, started("a", 0, 9_000, "ready", 1));
        endpoints(2, record("a", 1, ""));
        endpoints(3, started("a", 2, 5_000, "ready", 3));
        assertFalse(known("a"));
    }

    @Test
    void shouldTakeOlderStartWhenNothingIsHeardOfNewerOneAnyMore() {
        endpoints(1, started("a", 0, 9_000, "ready", 1));
        for (int offset = 1; offset <= 6; offset++) {
            now.addAndGet(1_200);
            endpoints(offset + 1, started("a", offset, 5_000, "ready", 3));
        }
        assertEquals(3, entry("a").models().get("m"), "a clock was set back, or one false entry told a start to come");
    }

    @Test
    void shouldNotUseEntryWithoutStartWhenEndpointToldItsStartBefore() {
        endpoints(1, started("a", 0, 9_000, "ready", 1));
        endpoints(2, endpoint("a", 1));
        assertFalse(known("a"), "another writer wrote it");
        endpoints(3, started("a", 2, 9_000, "ready", 1));
        assertTrue(known("a"));
    }

    // -- what peers tell

    /**
     * A peer that started after an endpoint went knows nothing of its going. Whoever took the peer's word for where to read on
     * would never learn of it either.
     */
    @Test
    void shouldLearnOfDroppedEntryWhenPeerStartedAfterIt() {
        endpoints(6, endpoint("a", 5));
        ViewMaintainer peer = new ViewMaintainer(new StoreRecords(), now::get);
        peer.replace(Topic.ENDPOINTS, List.of(endpoint("b", 7)), 8);
        Batch told = peer.since(Topic.ENDPOINTS, keeper.end(Topic.ENDPOINTS));
        keeper.apply(Topic.ENDPOINTS, told.records(), told.end());
        assertTrue(known("b"));
        assertEquals(6, keeper.end(Topic.ENDPOINTS), "the record that drops it lies before the peer's first");
    }

    @Test
    void shouldReadOnWherePeerStandsWhenPeerHasFollowedSinceBefore() {
        endpoints(6, endpoint("a", 5));
        ViewMaintainer peer = new ViewMaintainer(new StoreRecords(), now::get);
        peer.replace(Topic.ENDPOINTS, List.of(endpoint("a", 5)), 6);
        peer.apply(Topic.ENDPOINTS, List.of(record("a", 6, ""), endpoint("b", 7)), 8);
        Batch told = peer.since(Topic.ENDPOINTS, keeper.end(Topic.ENDPOINTS));
        keeper.apply(Topic.ENDPOINTS, told.records(), told.end());
        assertFalse(known("a"));
        assertEquals(8, keeper.end(Topic.ENDPOINTS));
    }

    // -- entries that are written late

    private static StoredRecord written(String id, long offset, long writes, String state) {
        return record(
                id,
                offset,
                "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":4,\"state\":\"" + state
                        + "\",\"sequence\":" + writes + "}");
    }

    /**
     * An endpoint wrote that it is ready, got no answer, wrote that it leaves, and then the first write was done: entries went on
     * sending to it.
     */
    @Test
    void shouldBelieveThatEndpointLeavesWhenEarlierEntryIsWrittenLate() {
        endpoints(1, written("a", 0, 4, "ready"));
        endpoints(2, written("a", 1, 6, "draining"));
        now.addAndGet(5_900);
        endpoints(3, written("a", 2, 5, "ready"));
        assertTrue(entry("a").leaving());
        endpoints(4, written("a", 3, 7, "ready"));
        assertFalse(entry("a").leaving(), "what it wrote after that counts");
    }

    @Test
    void shouldNotListEndpointAgainWhenEarlierEntryIsWrittenAfterItWent() {
        endpoints(1, written("a", 0, 6, "draining"));
        endpoints(2, record("a", 1, ""));
        now.addAndGet(1_000);
        endpoints(3, written("a", 2, 5, "ready"));
        assertFalse(known("a"));
    }

    @Test
    void shouldTakeEntryAgainThatCountsFromAnewWithoutTellingItsStart() {
        endpoints(1, written("a", 0, 60, "ready"));
        now.addAndGet(7_100);
        endpoints(2, written("a", 1, 1, "draining"));
        assertTrue(entry("a").leaving());
    }

    // -- entries of other writers

    @ParameterizedTest
    @ValueSource(strings = {"{", "[]", "null", "{\"service\":\"s\",\"state\":\"ready\"}", "\u0000"})
    void shouldNotUseEndpointWhenItsEntryCannotBeReadAnyMoreAndKeepTheOthers(String value) {
        endpoints(2, endpoint("a", 0), endpoint("b", 1));
        endpoints(4, record("a", 2, value), endpoint("c", 3));
        assertEquals(Set.of("b", "c"), keeper.view().endpoints().keySet());
        endpoints(5, endpoint("a", 4));
        assertTrue(known("a"), "it wrote its entry again");
    }

    @Test
    void shouldNotKeepDoubtedEndpointWhenItsEntryCannotBeRead() {
        endpoints(1, endpoint("a", 0));
        keeper.regained(Topic.ENDPOINTS);
        endpoints(2, record("a", 1, ""));
        endpoints(3, record("a", 2, "{"));
        assertFalse(known("a"));
    }

    @Test
    void shouldSayOnceThatEntryIsRefusedHoweverOftenItIsWritten() {
        Logger logger = (Logger) LoggerFactory.getLogger(ViewMaintainer.class);
        ListAppender<ILoggingEvent> lines = new ListAppender<>();
        lines.start();
        logger.addAppender(lines);
        logger.setLevel(Level.INFO);
        try {
            endpoints(1, endpoint("a", 0));
            for (int offset = 1; offset <= 50; offset++) {
                endpoints(offset + 1, record("a", offset, "{\"sequence\":" + offset + "}"));
            }
        } finally {
            logger.detachAppender(lines);
            logger.setLevel(null);
        }
        assertEquals(
                1,
                lines.list.stream()
                        .filter(line -> line.getFormattedMessage().contains("refused"))
                        .count());
    }

    @Test
    void shouldKeepNamedVersionWhenLaterRecordIsOfAnotherType() {
        keeper.apply(Topic.OPERATOR, List.of(record("version/m", 0, "{\"model\":\"m\",\"version\":2}")), 1);
        keeper.apply(Topic.OPERATOR, List.of(record("version/m", 1, "{\"model\":\"m\",\"version\":\"3\"}")), 2);
        assertEquals(2, keeper.view().newestTarget("m").orElseThrow().version());
    }
}
