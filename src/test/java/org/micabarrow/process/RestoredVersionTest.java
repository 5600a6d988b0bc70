package org.micabarrow.process;

import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.platform.standin.HostedSystem;

/** What agents do about weight versions when the store comes back from an older copy. */
class RestoredVersionTest {

    private static final String SAVED = "keyed.micabarrow.versions";
    private static final int UNRELATED_RECORDS = 20;

    private HostedSystem platform;

    @BeforeEach
    void start() throws Exception {
        platform = HostedSystem.start();
        platform.addEndpoint("a", "models", 1);
        HostedAgentProcess.start(platform.agentSettings("a"));
        platform.publishWeightVersion(2);
        Await.until("version 2 is held", () -> platform.endpoint("a").version() == 2);
        Await.until("version 2 is saved", () -> platform.hasStoredWeightVersion(2));
        IntStream.range(0, UNRELATED_RECORDS).forEach(i -> platform.store().append("keyed.op", "note", "{}"));
    }

    @AfterEach
    void stop() throws Exception {
        platform.close();
    }

    private void restoreWithoutSavedVersions() {
        platform.store()
                .restore(Map.of(
                        "keyed.op", UNRELATED_RECORDS, SAVED, platform.store().recordCount(SAVED)));
    }

    @Test
    void shouldSaveVersionAgainWhenStoreLostIt() {
        restoreWithoutSavedVersions();
        Await.until("version 2 is saved again", () -> platform.hasStoredWeightVersion(2));
    }

    @Test
    void shouldTakeUpVersionWhenItsOffsetWasGivenOutBefore() {
        restoreWithoutSavedVersions();
        platform.publishWeightVersion(3);
        Await.until("version 3 is held", () -> platform.endpoint("a").version() == 3);
    }
}
