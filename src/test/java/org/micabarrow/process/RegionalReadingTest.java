package org.micabarrow.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;

/**
 * Users saw proper requests refused with 401 and 404 in the two regions that the store is not in.
 *
 * <p>Manifests were written one after the other for six seconds, four a second. Every process read each of them whole, over the
 * one link that its region has to the store: 30 copies of some 40 KB, four times a second, are twice what that link carries.
 * Entries fell behind, by more than the time in which a manifest must be in force, and went on to refuse by what they had.
 *
 * <p>Evidence: the refusals came from both regions beyond such a link at the same moment, when the changes had gone on for
 * 5.6 s; the entries beside the store refused nothing, and neither of the two had been cut off.
 */
class RegionalReadingTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final String OPERATORS = "keyed.op";
    private static final int ENTRIES = 3;
    private static final int CHANGES = 4;
    private static final int UNAUTHORIZED = 401;

    private final List<HostedSettings> settings = new ArrayList<>();
    private final List<HostedEntryProcess> entries = new ArrayList<>();
    private long version = 1;
    private HostedSystem platform;
    private HttpClient caller;

    @BeforeEach
    void start() throws IOException {
        platform = HostedSystem.start();
        caller = HttpClient.start("test", 1);
        platform.addEndpoint("a", "models", 1);
        HostedSettings agent = platform.agentSettings("a");
        HostedAgentProcess.start(agent);
        for (int i = 0; i < ENTRIES; i++) {
            HostedSettings entry = platform.entrySettingsPolling(agent);
            settings.add(entry);
            entries.add(HostedEntryProcess.start(entry));
        }
    }

    @AfterEach
    void stop() throws Exception {
        for (HostedEntryProcess entry : entries) {
            entry.close();
        }
        caller.close();
        platform.close();
    }

    /** However many processes a region has, a manifest crosses its link to the store once. */
    @Test
    void shouldReadEachManifestOnceWhenRegionHasSeveralEntries() {
        Await.until("a manifest is read by one entry for all", () -> copiesOfNextManifest() == 1);
        for (int i = 0; i < CHANGES; i++) {
            assertEquals(1, copiesOfNextManifest());
        }
    }

    /** The one that reads for all is replaced like any other instance. */
    @Test
    void shouldGoOnWhenEntryThatReadsForRegionEnds() throws Exception {
        Await.until("a manifest is read by one entry for all", () -> copiesOfNextManifest() == 1);
        // Addresses are dealt in rising order, and the first reads for the others.
        settings.removeFirst();
        entries.removeFirst().close();
        copiesOfNextManifest();
        Await.until("another entry reads for those that are left", () -> copiesOfNextManifest() == 1);
    }

    /** Writes the next manifest, which takes the key of the one before away, and tells how often it was read. */
    private int copiesOfNextManifest() {
        version++;
        boolean taken = version % 2 == 0;
        int before = platform.store().deliveredCount(OPERATORS);
        platform.publishManifest(version, taken ? "key-b" : "key-a", 2_000);
        Await.until(
                "every entry goes by the manifest",
                () -> settings.stream().allMatch(entry -> refusesKey(entry) == taken));
        return platform.store().deliveredCount(OPERATORS) - before;
    }

    private boolean refusesKey(HostedSettings entry) {
        HttpCall request =
                HostedSystem.request(entry.listen().clients().orElseThrow(), "/stream/x", "id-" + System.nanoTime());
        return caller.call(request, TIMEOUT).toOptional().orElseThrow().status() == UNAUTHORIZED;
    }
}
