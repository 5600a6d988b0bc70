package org.micabarrow.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.views.EraOffset;
import org.micabarrow.views.StoredRecord;
import org.micabarrow.views.UnsavedItem;
import org.micabarrow.views.VersionKeys;

/** How weight versions that were named are written into the store. */
class VersionRecordsTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    /** An operator's key {@code version/MODEL} is good to 255 bytes, for the length of a key is one byte. */
    private static final String LONGEST_MODEL = "m".repeat(255 - "version/".length());

    @Test
    void shouldNotTakeVersionForKeptWhenKeyIsTooLong() throws Exception {
        try (HostedSystem platform = HostedSystem.start();
                HttpClient caller = HttpClient.start("test", 1)) {
            String store = platform.entrySettings().store();
            boolean written = new VersionRecords(caller, store, TIMEOUT)
                    .write(
                            new UnsavedItem.Weights(
                                    LONGEST_MODEL, 2, OptionalLong.empty(), OptionalLong.empty(), List.of()),
                            OptionalLong.empty())
                    .toOptional()
                    .isPresent();
            boolean there =
                    platform.store().containsKey("keyed.micabarrow.versions", VersionKeys.ofVersion(LONGEST_MODEL, 2));
            assertTrue(!written || there, "said to be written, and not there under its key");
        }
    }

    @Test
    void shouldStateUpToWhereRecordsWereReadWhenThatIsKnown() throws Exception {
        try (HostedSystem platform = HostedSystem.start();
                HttpClient caller = HttpClient.start("test", 1)) {
            VersionRecords records =
                    new VersionRecords(caller, platform.entrySettings().store(), TIMEOUT);
            UnsavedItem item = new UnsavedItem.Manifest(7, EraOffset.of(1, 3), List.of());
            for (OptionalLong readTo : List.of(OptionalLong.of(EraOffset.of(1, 5)), OptionalLong.empty())) {
                StoredRecord saved =
                        records.write(item, readTo).toOptional().orElseThrow().getFirst();
                assertEquals(readTo, new StoreRecords().savedReadTo(saved));
            }
        }
    }
}
