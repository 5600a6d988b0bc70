package org.micabarrow.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.platform.OddValues;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** Hundreds of odd entries beside sound ones: entries and agents go on, follow the list and serve. */
class OddEntriesTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int OK = 200;

    /** A port on which nothing listens. */
    private static final String NOBODY = "127.0.0.1:1";

    /** The longest record and the most bytes of a page that the store takes and gives. */
    private static final int MAX_RECORD_BYTES = 262_144;

    private static final int RECORDS_PER_PAGE = (1 << 20) / MAX_RECORD_BYTES;

    private HostedSystem platform;
    private HttpClient caller;

    @BeforeEach
    void start() {
        platform = HostedSystem.start();
        platform.store().setPageSize(RECORDS_PER_PAGE);
        caller = HttpClient.start("test", 1);
    }

    @AfterEach
    void stop() throws Exception {
        caller.close();
        platform.close();
    }

    private void writeOddEntries(String service) {
        List<String> entries = fitting(OddValues.entries(service, NOBODY, "hall-a"));
        for (int i = 0; i < entries.size(); i++) {
            platform.store().append("keyed.servers", "odd-" + i, entries.get(i));
        }
    }

    private static List<String> fitting(List<String> values) {
        return values.stream()
                .filter(value -> value.length() <= MAX_RECORD_BYTES)
                .toList();
    }

    private int status(HostedSettings entry, String path) {
        return caller.call(HostedSystem.request(entry.listen().clients().orElseThrow(), path, "attempt-1"), TIMEOUT)
                .toOptional()
                .map(HttpResponse::status)
                .orElse(0);
    }

    @Test
    void shouldFollowListWhenOddEntriesComeToRunningEntry() throws Exception {
        platform.addEndpoint("plain-1", "plain", 0);
        HostedSettings settings = platform.entrySettings();
        try (HostedEntryProcess entry = HostedEntryProcess.start(settings)) {
            Await.until("the endpoint", () -> entry.takesRequests() && entry.endpoints() == 1);
            writeOddEntries("odd");
            platform.addEndpoint("model-1", "models", 1);
            Await.until("the endpoint that came afterwards", () -> status(settings, "/stream/x") == OK);
            assertEquals(OK, status(settings, "/again/x"));
        }
    }

    @Test
    void shouldServeWhenOddEntriesAreThereAtStart() throws Exception {
        writeOddEntries("odd");
        platform.addEndpoint("model-1", "models", 1);
        HostedSettings settings = platform.entrySettings();
        try (HostedEntryProcess entry = HostedEntryProcess.start(settings)) {
            Await.until("a manifest", entry::takesRequests);
            Await.until("the endpoint", () -> status(settings, "/stream/x") == OK);
        }
    }

    /** An odd entry with a usable address is tried, and costs an attempt until the endpoint is found to be gone. */
    @Test
    void shouldServeWhenOddEntriesAreOfSameService() throws Exception {
        writeOddEntries("models");
        platform.addEndpoint("model-1", "models", 1);
        HostedSettings settings = platform.entrySettings();
        try (HostedEntryProcess entry = HostedEntryProcess.start(settings)) {
            Await.until("a manifest", entry::takesRequests);
            Await.until("the sound endpoint", () -> status(settings, "/stream/x") == OK);
        }
    }

    @Test
    void shouldLoadNewVersionWhenOddEntriesComeToRunningAgent() throws Exception {
        platform.addEndpoint("model-1", "models", 1);
        HostedSettings settings = platform.agentSettings("model-1");
        try (HostedAgentProcess agent = HostedAgentProcess.start(settings)) {
            writeOddEntries("odd");
            platform.publishWeightVersion(2);
            Await.until("the new version", () -> platform.endpoint("model-1").version() == 2);
        }
    }

    @Test
    void shouldLoadNewVersionWhenOddEntriesAreThereAtStartOfAgent() throws Exception {
        writeOddEntries("odd");
        platform.addEndpoint("model-1", "models", 1);
        platform.publishWeightVersion(2);
        HostedSettings settings = platform.agentSettings("model-1");
        try (HostedAgentProcess agent = HostedAgentProcess.start(settings)) {
            Await.until("the new version", () -> platform.endpoint("model-1").version() == 2);
        }
    }

    @Test
    void shouldFollowOperatorsWhenTheirTopicAndOwnTopicsHoldOddRecords() throws Exception {
        List<String> values = fitting(OddValues.all());
        for (int i = 0; i < values.size(); i++) {
            platform.store().append("keyed.op", "config", values.get(i));
            platform.store().append("keyed.op", "version/model-a", values.get(i));
            platform.store().append("keyed.op", "evacuate/odd-" + i, values.get(i));
            platform.store().append("keyed.micabarrow.versions", "version/odd-" + i, values.get(i));
            platform.store().append("keyed.micabarrow.crashes", "crash/odd-" + i, values.get(i));
        }
        platform.publishManifest(2, "key-a", TIMEOUT.toMillis());
        platform.addEndpoint("model-1", "models", 1);
        HostedSettings settings = platform.entrySettings();
        try (HostedEntryProcess entry = HostedEntryProcess.start(settings);
                HostedAgentProcess agent = HostedAgentProcess.start(platform.agentSettings("model-1"))) {
            Await.until("the endpoint", () -> status(settings, "/stream/x") == OK);
            values.forEach(value -> platform.store().append("keyed.op", "config", value));
            platform.publishWeightVersion(2);
            Await.until("the new version", () -> platform.endpoint("model-1").version() == 2);
        }
    }
}
