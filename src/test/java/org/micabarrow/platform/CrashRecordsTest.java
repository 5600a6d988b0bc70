package org.micabarrow.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.crashes.CrashUpdate;
import org.micabarrow.crashes.EndpointCrash;
import org.micabarrow.crashes.PromptPart;
import org.micabarrow.crashes.RequestDigest;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.views.StoredRecord;

class CrashRecordsTest {

    private static final RequestDigest ONE = new RequestDigest("1".repeat(32));
    private static final RequestDigest OTHER = new RequestDigest("2".repeat(32));
    private static final CrashUpdate CRASH =
            new CrashUpdate.Crashed(new EndpointCrash("e@7", Set.of(ONE), Set.of(OTHER)));

    private static final PromptPart PART = new PromptPart("5c1e07a2");
    private static final CrashUpdate CRASH_WITH_PARTS = new CrashUpdate.Crashed(
            new EndpointCrash("e@7", Set.of(ONE), Set.of(OTHER), Map.of(ONE, Set.of(PART, new PromptPart("ab")))));

    private final HttpClient caller = HttpClient.start("records", 1);

    @AfterEach
    void stop() {
        caller.close();
    }

    private CrashRecords of(String process) {
        return new CrashRecords(caller, "127.0.0.1:1", Duration.ofMillis(1), process);
    }

    @Test
    void shouldReadWhatWasWritten() {
        for (CrashUpdate news : new CrashUpdate[] {
            CRASH,
            CRASH_WITH_PARTS,
            new CrashUpdate.Cleared(ONE, true),
            new CrashUpdate.Cleared(OTHER, false),
            new CrashUpdate.Cleared(PART, true)
        }) {
            Result<CrashRecords.DatedUpdate> read =
                    CrashRecords.read(of("entry-1").record(news, 99));
            assertEquals(Result.success(new CrashRecords.DatedUpdate(news, 99)), read);
        }
    }

    /** Processes of an earlier version know neither field of parts, and ignore fields that they do not know. */
    @Test
    void shouldBeReadableWithoutPartsWhenProcessKnowsNone() {
        String crash = text(CRASH_WITH_PARTS).replaceFirst(",\"parts\":\\{[^}]*\\}", "");
        assertEquals(Result.success(new CrashRecords.DatedUpdate(CRASH, 99)), CrashRecords.read(record(crash)));
        String clearing = text(new CrashUpdate.Cleared(PART, true)).replaceFirst("\"part\":\"[0-9a-f]*\",", "");
        CrashUpdate ofUnknownRequest = new CrashUpdate.Cleared(new RequestDigest("0".repeat(24) + PART), true);
        assertEquals(
                Result.success(new CrashRecords.DatedUpdate(ofUnknownRequest, 99)),
                CrashRecords.read(record(clearing)));
    }

    private String text(CrashUpdate update) {
        return new String(of("entry-1").record(update, 99).value(), StandardCharsets.UTF_8);
    }

    private static StoredRecord record(String value) {
        return new StoredRecord("k", 0, value.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void shouldHideNothingThatAnotherProcessTold() {
        assertNotEquals(
                of("entry-1").record(CRASH, 1).key(),
                of("entry-2").record(CRASH, 1).key());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "no JSON",
                "{}",
                "{\"atMillis\":1,\"cleared\":\"12\",\"whole\":true}",
                "{\"atMillis\":1,\"endpoint\":\"e\",\"aboard\":[\"12\"],\"begun\":[]}",
                "{\"atMillis\":1,\"endpoint\":\"e\",\"aboard\":[],\"begun\":[],\"parts\":{\"12\":[]}}",
                "{\"atMillis\":1,\"endpoint\":\"e\",\"aboard\":[],\"begun\":[],\"parts\":[]}",
                "{\"atMillis\":1,\"cleared\":\"\",\"part\":\"xy\",\"whole\":true}",
                "{\"atMillis\":-1,\"endpoint\":\"e\",\"aboard\":[],\"begun\":[]}"
            })
    void shouldRefuseWhatAnotherWriterLeft(String value) {
        assertTrue(CrashRecords.read(record(value)).cause().isPresent());
    }
}
