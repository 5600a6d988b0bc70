package org.micabarrow.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.state.Fault;

class SettingsReaderTest {

    private static final String GOOD = """
            // an entry
            {
              "instance": { "id": "entry-1", "region": "norte", "hall": "norte-a" },
              "listen": { "callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3" },
              "platform": {
                "log": "http://127.0.0.1:4/log", "instances": "http://127.0.0.1:4/list",
                "store": "http://127.0.0.1:4/store", "origin": "http://127.0.0.1:4/origin"
              },
              /* bounds */
              "limits": { "bodyBytes": 1000 },
            }
            """;

    @TempDir
    private Path directory;

    private Path file(String text) throws IOException {
        return Files.writeString(directory.resolve("entry.jsonc"), text);
    }

    @Test
    void shouldReadCommentsAndFillInDefaults() throws IOException {
        EntrySettings settings = SettingsReader.entry(file(GOOD)).toOptional().orElseThrow();
        assertEquals(1000, settings.limits().bodyBytes());
        assertEquals(16384, settings.limits().headerBytes());
        assertEquals("text", settings.log().format());
        assertTrue(settings.tls().peers().isEmpty());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"bodyBytes\": 1000 | \"bodyBytes\": 0 | :10: /limits/bodyBytes: 0 is not allowed; allowed: a whole number",
                "\"bodyBytes\": 1000 | \"bodyByte\": 1000 | :10: /limits/bodyByte: unknown field; allowed here:",
                "\"bodyBytes\": 1000 | \"bodyBytes\": \"many\" | :10: /limits/bodyBytes: \"many\" is not allowed",
                "\"norte-a\" | \"norte a\" | :3: /instance/hall: \"norte a\" is not allowed; allowed: 1 to 63",
                "\"127.0.0.1:2\" | \"127.0.0.1\" | :4: /listen/operators: \"127.0.0.1\" is not allowed; allowed: host:port",
                "\"instance\" | \"instances\" | /instance: is missing",
                "\"limits\": { \"bodyBytes\": 1000 } | \"log\": { \"level\": \"loud\" } | :10: /log/level: \"loud\"",
                "\"limits\": { \"bodyBytes\": 1000 } | \"tls\": { \"peers\": { \"key\": \"k\" } } | /tls/peers",
                "/* bounds */ | \"limits\": {}, | Duplicate",
                "{ \"bodyBytes\": 1000 } | { \"bodyBytes\": | :10: Unexpected character",
            })
    void shouldNameFileLineFieldValueAndWhatIsAllowed(String from, String to, String message) throws IOException {
        Fault fault = SettingsReader.entry(file(GOOD.replace(from, to))).cause().orElseThrow();
        assertEquals(Fault.Step.SETTINGS, fault.step());
        assertTrue(fault.message().contains("entry.jsonc"), fault.message());
        assertTrue(fault.message().contains(message), fault.message());
    }

    @Test
    void shouldNameFieldThatIsMissing() throws IOException {
        Fault fault = SettingsReader.entry(file(GOOD.replace("\"id\": \"entry-1\",", "")))
                .cause()
                .orElseThrow();
        assertTrue(fault.message().contains("/instance"), fault.message());
    }

    @Test
    void shouldNameFileThatIsNotThere() {
        Fault fault = SettingsReader.agent(directory.resolve("none")).cause().orElseThrow();
        assertEquals(Fault.Reason.NOT_FOUND, fault.reason());
    }

    // -- examples and intents

    @Test
    void shouldAcceptTheExamples() throws IOException {
        assertTrue(SettingsReader.entry(Path.of("examples/entry.jsonc"))
                .toOptional()
                .isPresent());
        assertTrue(SettingsReader.agent(Path.of("examples/agent.jsonc"))
                .toOptional()
                .isPresent());
        byte[] intent = Files.readAllBytes(Path.of("examples/intent.jsonc"));
        assertEquals(
                2,
                IntentReader.read("intent", intent)
                        .toOptional()
                        .orElseThrow()
                        .placements()
                        .size());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{ \"placement\": [] } | /placement: unknown field; allowed here: [organisations, placements]",
                "{ \"organisations\": [ { \"name\": \"a b\", \"tokenDigest\": \"0\" } ] } | \"a b\" is not allowed",
                "{ \"placements\": [ { \"name\": \"a\" } ] } | /placements/0",
                "[] | not a JSON object",
            })
    void shouldSayWhatIsWrongWithIntent(String text, String message) {
        Fault fault = IntentReader.read("intent.jsonc", text.getBytes(StandardCharsets.UTF_8))
                .cause()
                .orElseThrow();
        assertEquals(Fault.Step.INTENT, fault.step());
        assertTrue(fault.message().contains(message), fault.message());
    }
}
