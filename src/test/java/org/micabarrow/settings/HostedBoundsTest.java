package org.micabarrow.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.settings.HostedSettings.Bounds;
import org.micabarrow.state.Result;

/** Tests the bounds that not every deployment has. */
class HostedBoundsTest {

    private static final String GOOD = """
            {
              "instance": { "id": "entry-1", "region": "norte", "hall": "norte-a" },
              "regions": { "norte-a": "norte" },
              "listen": { "clients": "127.0.0.1:1", "ready": "127.0.0.1:2", "peers": "127.0.0.1:3",
                "metrics": "127.0.0.1:4" },
              "peerPort": 7740, "seeds": [], "store": "127.0.0.1:5", "linkBitsPerSecond": 1e9,
              "bounds": {
                "versionMillis": 8000, "configurationMillis": 3000, "drainMillis": 3000, "graceMillis": 8000,
                "retryShare": 0.2, "retrySlack": 130, %s "crashMemoryMillis": 600000, "crashesKept": 1000
              },
              "log": { "format": "text", "level": "info" }
            }
            """;

    @TempDir
    private Path directory;

    private Result<HostedSettings> read(String bounds) throws IOException {
        return SettingsReader.hosted(Files.writeString(directory.resolve("settings.jsonc"), GOOD.formatted(bounds)));
    }

    private Bounds bounds(String bounds) throws IOException {
        return read(bounds).toOptional().orElseThrow().bounds();
    }

    @Test
    void shouldReadAbsentBoundsAsEmpty() throws IOException {
        Bounds bounds = bounds("");
        assertEquals(OptionalLong.empty(), bounds.evacuateMillis());
        assertEquals(3_000, bounds.operatorMillis());
    }

    @ParameterizedTest
    @CsvSource({"5000, 3000", "2000, 2000"})
    void shouldTakeShorterBoundForWhatOperatorsWrite(long evacuateMillis, long expectedMillis) throws IOException {
        Bounds bounds = bounds("\"evacuateMillis\": " + evacuateMillis + ",");
        assertEquals(OptionalLong.of(evacuateMillis), bounds.evacuateMillis());
        assertEquals(expectedMillis, bounds.operatorMillis());
    }

    @Test
    void shouldRefuseEvacuationBoundThatIsTooShort() throws IOException {
        String why = read("\"evacuateMillis\": 0,").cause().orElseThrow().message();
        assertTrue(why.contains("/bounds/evacuateMillis: 0 is not allowed"), why);
    }
}
