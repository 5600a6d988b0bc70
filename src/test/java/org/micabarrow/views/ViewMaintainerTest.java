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

/** Tests the view through store outages, expired history and updates from peers. */
class ViewMaintainerTest {

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final ViewMaintainer views = new ViewMaintainer(new StoreRecords(), now::get);

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
        views.apply(Topic.ENDPOINTS, List.of(records), end);
    }

    private boolean isListed(String id) {
        return views.view().endpoints().containsKey(id);
    }

    private long manifestVersion() {
        return views.view().manifest().orElseThrow().version();
    }

    // -- manifests

    @Test
    void shouldKeepManifestWhenPeerSendsOlderOne() {
        views.apply(Topic.OPERATOR, List.of(manifest(7, 3)), 4);
        views.apply(Topic.OPERATOR, List.of(manifest(5, 2)), 3);
        assertEquals(7, manifestVersion());
    }

    @Test
    void shouldKeepManifestWhenOlderOneIsWrittenLate() {
        views.apply(Topic.OPERATOR, List.of(manifest(7, 3)), 4);
        views.apply(Topic.OPERATOR, List.of(manifest(5, 4)), 5);
        assertEquals(7, manifestVersion());
        views.replace(Topic.OPERATOR, List.of(manifest(5, 4)), 5);
        assertEquals(7, manifestVersion());
    }

    @Test
    void shouldKeepManifestWhenItsRecordDisappears() {
        views.apply(Topic.OPERATOR, List.of(manifest(7, 3)), 4);
        views.replace(Topic.OPERATOR, List.of(), 9);
        assertEquals(7, manifestVersion());
    }

    @Test
    void shouldKeepManifestWhenNewOneIsInvalid() {
        views.apply(Topic.OPERATOR, List.of(manifest(7, 3)), 4);
        views.apply(Topic.OPERATOR, List.of(record("config", 4, "{")), 5);
        assertEquals(7, manifestVersion());
    }

    // -- weights

    private static StoredRecord named(long version, long offset) {
        return record("version/m", offset, "{\"model\":\"m\",\"version\":" + version + "}");
    }

    /**
     * Requests started on version 2 of a model 20 s after version 3 had been acknowledged, after all processes had
     * restarted. The late write of version 2 had replaced version 3 before most processes had requested it from a peer,
     * and a peer only returned the latest record of a key, so that none of the processes that save versions ever
     * learned of version 3.
     */
    @Test
    void shouldLearnNewestVersionFromPeerWhenOlderOneWasWrittenLate() {
        views.apply(Topic.OPERATOR, List.of(named(3, 5), named(2, 6)), 7);
        ViewMaintainer reader = new ViewMaintainer(new StoreRecords(), now::get);
        TopicReader.Batch batch = views.since(Topic.OPERATOR, 0);
        reader.apply(Topic.OPERATOR, batch.records(), batch.end());
        assertEquals(3, reader.view().newestTarget("m").orElseThrow().version());
        assertEquals(
                List.of(3L),
                reader.unsavedVersions().stream()
                        .map(one -> ((UnsavedItem.Weights) one).version())
                        .toList());
    }

    @Test
    void shouldRequireVersionWhenItsBoundHasPassed() {
        views.addPeerTarget("m", 2);
        now.addAndGet(3_000);
        views.addPeerTarget("m", 3);
        now.addAndGet(5_500);
        assertEquals(2, views.view().minVersion("m", 8_000, now.get()));
        now.addAndGet(3_000);
        assertEquals(3, views.view().minVersion("m", 8_000, now.get()));
    }

    @Test
    void shouldKeepTimeOfNamingWhenVersionIsReportedAgain() {
        views.addPeerTarget("m", 2);
        now.addAndGet(9_000);
        views.addPeerTarget("m", 2);
        views.addPeerTarget("m", 1);
        assertEquals(2, views.view().minVersion("m", 8_000, now.get()));
    }

    @Test
    void shouldDistinguishObservedNamingFromEarlierNaming() {
        StoredRecord found = record("version/m", 1, "{\"model\":\"m\",\"version\":2}");
        views.replace(Topic.OPERATOR, List.of(found), 2);
        assertFalse(views.view().newestTarget("m").orElseThrow().namingObserved());
        StoredRecord named = record("version/m", 2, "{\"model\":\"m\",\"version\":3}");
        views.apply(Topic.OPERATOR, List.of(named), 3);
        assertTrue(views.view().newestTarget("m").orElseThrow().namingObserved());
    }

    // -- endpoints

    @Test
    void shouldRemoveEndpointAtOnceWhenStoreWasReachable() {
        endpoints(1, endpoint("a", 0));
        endpoints(2, record("a", 1, ""));
        assertFalse(isListed("a"));
    }

    @Test
    void shouldDeferRemovalRightAfterOutage() {
        endpoints(1, endpoint("a", 0));
        views.onStoreReachable(Topic.ENDPOINTS);
        endpoints(2, record("a", 1, ""));
        assertTrue(isListed("a"));
        endpoints(3, endpoint("a", 2));
        now.addAndGet(5_000);
        views.applyDueChanges();
        assertTrue(isListed("a"), "its entry was written again");
    }

    @Test
    void shouldRemoveEndpointWhenItsEntryIsNotWrittenAgain() {
        endpoints(1, endpoint("a", 0));
        views.onStoreReachable(Topic.ENDPOINTS);
        endpoints(2, record("a", 1, ""));
        now.addAndGet(2_400);
        views.applyDueChanges();
        assertFalse(isListed("a"));
    }

    // -- endpoints that restart with the same id

    private static StoredRecord started(String id, long offset, long startedMillis, String state, long version) {
        return record(
                id,
                offset,
                "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":4,\"state\":\"" + state
                        + "\",\"models\":[{\"name\":\"m\",\"version\":" + version + "}],\"born\":" + startedMillis
                        + "}");
    }

    private EndpointRegistration entry(String id) {
        return views.view().endpoints().get(id);
    }

    @Test
    void shouldReplaceEntryWhenEndpointRestarts() {
        endpoints(1, started("a", 0, 5_000, "draining", 3));
        endpoints(2, started("a", 1, 9_000, "ready", 1));
        assertFalse(entry("a").draining());
        assertEquals(1, entry("a").models().get("m"));
    }

    @Test
    void shouldKeepEntryWhenWriteOfEarlierStartIsLate() {
        endpoints(1, started("a", 0, 9_000, "ready", 1));
        now.addAndGet(3_000);
        endpoints(2, started("a", 1, 5_000, "draining", 3));
        assertFalse(entry("a").draining());
        assertEquals(1, entry("a").models().get("m"));
    }

    @Test
    void shouldNotListEndpointAgainWhenWriteOfEarlierStartFollowsRemoval() {
        endpoints(1, started("a", 0, 9_000, "ready", 1));
        endpoints(2, record("a", 1, ""));
        endpoints(3, started("a", 2, 5_000, "ready", 3));
        assertFalse(isListed("a"));
    }

    @Test
    void shouldAcceptEarlierStartWhenLaterOneHasNotBeenSeenForLong() {
        endpoints(1, started("a", 0, 9_000, "ready", 1));
        for (int offset = 1; offset <= 6; offset++) {
            now.addAndGet(1_200);
            endpoints(offset + 1, started("a", offset, 5_000, "ready", 3));
        }
        assertEquals(
                3,
                entry("a").models().get("m"),
                "a clock was set back, or a wrong entry had a start time in the future");
    }

    @Test
    void shouldRejectEntryWithoutStartTimeWhenEarlierEntryHadOne() {
        endpoints(1, started("a", 0, 9_000, "ready", 1));
        endpoints(2, endpoint("a", 1));
        assertFalse(isListed("a"), "something else wrote the entry");
        endpoints(3, started("a", 2, 9_000, "ready", 1));
        assertTrue(isListed("a"));
    }

    // -- records from peers

    /**
     * A peer that started after an endpoint was removed does not know of the removal. If its end were used as the
     * offset to continue from, the removal would never be read.
     */
    @Test
    void shouldLearnOfRemovalWhenPeerStartedAfterIt() {
        endpoints(6, endpoint("a", 5));
        ViewMaintainer peer = new ViewMaintainer(new StoreRecords(), now::get);
        peer.replace(Topic.ENDPOINTS, List.of(endpoint("b", 7)), 8);
        Batch batch = peer.since(Topic.ENDPOINTS, views.end(Topic.ENDPOINTS));
        views.apply(Topic.ENDPOINTS, batch.records(), batch.end());
        assertTrue(isListed("b"));
        assertEquals(6, views.end(Topic.ENDPOINTS), "the tombstone precedes the first record of the peer");
    }

    @Test
    void shouldContinueFromEndOfPeerWhenPeerHasReadAllRecords() {
        endpoints(6, endpoint("a", 5));
        ViewMaintainer peer = new ViewMaintainer(new StoreRecords(), now::get);
        peer.replace(Topic.ENDPOINTS, List.of(endpoint("a", 5)), 6);
        peer.apply(Topic.ENDPOINTS, List.of(record("a", 6, ""), endpoint("b", 7)), 8);
        Batch batch = peer.since(Topic.ENDPOINTS, views.end(Topic.ENDPOINTS));
        views.apply(Topic.ENDPOINTS, batch.records(), batch.end());
        assertFalse(isListed("a"));
        assertEquals(8, views.end(Topic.ENDPOINTS));
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
     * An endpoint wrote that it was ready and got no response, then wrote that it was draining, and then the first
     * write took effect: entries continued to send requests to it.
     */
    @Test
    void shouldKeepEndpointDrainingWhenEarlierEntryIsWrittenLate() {
        endpoints(1, written("a", 0, 4, "ready"));
        endpoints(2, written("a", 1, 6, "draining"));
        now.addAndGet(5_900);
        endpoints(3, written("a", 2, 5, "ready"));
        assertTrue(entry("a").draining());
        endpoints(4, written("a", 3, 7, "ready"));
        assertFalse(entry("a").draining(), "a later entry takes effect");
    }

    @Test
    void shouldNotListEndpointAgainWhenEarlierEntryIsWrittenAfterRemoval() {
        endpoints(1, written("a", 0, 6, "draining"));
        endpoints(2, record("a", 1, ""));
        now.addAndGet(1_000);
        endpoints(3, written("a", 2, 5, "ready"));
        assertFalse(isListed("a"));
    }

    @Test
    void shouldAcceptEntryWhenItsWriteCounterRestartsWithoutStartTime() {
        endpoints(1, written("a", 0, 60, "ready"));
        now.addAndGet(7_100);
        endpoints(2, written("a", 1, 1, "draining"));
        assertTrue(entry("a").draining());
    }

    // -- invalid entries

    @ParameterizedTest
    @ValueSource(strings = {"{", "[]", "null", "{\"service\":\"s\",\"state\":\"ready\"}", "\u0000"})
    void shouldRemoveOnlyEndpointWhoseEntryBecomesInvalid(String value) {
        endpoints(2, endpoint("a", 0), endpoint("b", 1));
        endpoints(4, record("a", 2, value), endpoint("c", 3));
        assertEquals(Set.of("b", "c"), views.view().endpoints().keySet());
        endpoints(5, endpoint("a", 4));
        assertTrue(isListed("a"), "its entry was written again");
    }

    @Test
    void shouldRemoveEndpointWithPendingRemovalWhenItsEntryIsInvalid() {
        endpoints(1, endpoint("a", 0));
        views.onStoreReachable(Topic.ENDPOINTS);
        endpoints(2, record("a", 1, ""));
        endpoints(3, record("a", 2, "{"));
        assertFalse(isListed("a"));
    }

    @Test
    void shouldLogInvalidEntryOnceWhenItIsWrittenRepeatedly() {
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
    void shouldKeepNamedVersionWhenLaterRecordHasWrongType() {
        views.apply(Topic.OPERATOR, List.of(record("version/m", 0, "{\"model\":\"m\",\"version\":2}")), 1);
        views.apply(Topic.OPERATOR, List.of(record("version/m", 1, "{\"model\":\"m\",\"version\":\"3\"}")), 2);
        assertEquals(2, views.view().newestTarget("m").orElseThrow().version());
    }
}
