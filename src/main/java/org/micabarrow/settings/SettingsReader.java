package org.micabarrow.settings;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import org.micabarrow.settings.JsonDocument.Rule;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Result;

/**
 * Reads and validates settings files.
 *
 * <pre>{@code
 * Result<EntrySettings> settings = SettingsReader.entry(Path.of("entry.jsonc"));
 * }</pre>
 */
public final class SettingsReader {

    private static final String ADDRESS = "[0-9A-Za-z.:\\[\\]-]+:[0-9]{1,5}";
    private static final String URL = "https?://[0-9A-Za-z.:\\[\\]-]+:[0-9]{1,5}(/[^\\s]*)?";
    private static final String NAME = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";
    private static final String NAME_DESCRIPTION = "1 to 63 letters, digits, '.', '_' or '-'";
    private static final String ADDRESS_DESCRIPTION = "host:port";
    private static final String URL_DESCRIPTION = "http://host:port, with or without a path";
    private static final long HOUR_MILLIS = 3_600_000;
    private static final long TERABYTE = 1_000_000_000_000L;

    private static final List<Rule> PLACE = List.of(
            Rule.pattern("/instance/id", NAME, NAME_DESCRIPTION),
            Rule.pattern("/instance/region", NAME, NAME_DESCRIPTION),
            Rule.pattern("/instance/hall", NAME, NAME_DESCRIPTION));

    private static final List<Rule> LOG = List.of(
            Rule.pattern("/log/format", "text|json", "text or json"),
            Rule.pattern("/log/level", "error|warn|info|debug|trace", "error, warn, info, debug or trace"));

    private static final List<Rule> COMMON = rules(
            PLACE,
            List.of(
                    Rule.pattern("/listen/operators", ADDRESS, ADDRESS_DESCRIPTION),
                    Rule.pattern("/listen/peers", ADDRESS, ADDRESS_DESCRIPTION),
                    Rule.pattern("/platform/log", URL, URL_DESCRIPTION),
                    Rule.pattern("/platform/instances", URL, URL_DESCRIPTION),
                    Rule.pattern("/platform/store", URL, URL_DESCRIPTION),
                    Rule.pattern("/platform/origin", URL, URL_DESCRIPTION),
                    Rule.range("/links/originBytesPerSecond", 1, TERABYTE),
                    Rule.range("/links/instanceBytesPerSecond", 1, TERABYTE),
                    Rule.pattern("/tls/peers/authorities", "(?s).+", "a PEM file"),
                    new Rule(
                            "/tls/peers",
                            node -> node.has("authorities"),
                            "certificate, key and authorities: processes check each other")),
            LOG);

    private static final List<Rule> ENTRY = List.of(
            Rule.pattern("/listen/callers", ADDRESS, ADDRESS_DESCRIPTION),
            Rule.pattern("/operators/*/name", NAME, NAME_DESCRIPTION),
            Rule.pattern("/operators/*/tokenDigest", "[0-9a-f]{64}", "the SHA-256 of a token, 64 hexadecimal digits"),
            Rule.range("/limits/bodyBytes", 1, 64 << 20),
            Rule.range("/limits/headerBytes", 1024, 1 << 20),
            Rule.range("/limits/connections", 1, 1_000_000),
            Rule.range("/limits/idleMillis", 100, HOUR_MILLIS),
            Rule.range("/limits/deadlineMillis", 1, HOUR_MILLIS),
            Rule.range("/limits/claimMillis", 10, 60_000),
            Rule.range("/limits/claimKeptMillis", 1_000, 7 * 24 * HOUR_MILLIS),
            Rule.range("/limits/claimStreams", 1, 64),
            new Rule(
                    "/limits/retryShare",
                    node -> node.isNumber() && node.asDouble() >= 0 && node.asDouble() <= 1,
                    "0 to 1"),
            Rule.range("/peers/statusMillis", 50, 60_000),
            Rule.range("/peers/unreachableMillis", 100, 600_000),
            Rule.range("/peers/listMillis", 50, 600_000),
            Rule.range("/peers/repairMillis", 100, HOUR_MILLIS),
            Rule.range("/peers/checkpointMillis", 100, 24 * HOUR_MILLIS),
            Rule.range("/peers/agentsPerPlacement", 1, 10_000));

    private static final List<Rule> HOSTED = rules(
            PLACE,
            List.of(
                    Rule.pattern("/listen/clients", ADDRESS, ADDRESS_DESCRIPTION),
                    Rule.pattern("/listen/ready", ADDRESS, ADDRESS_DESCRIPTION),
                    Rule.pattern("/listen/peers", ADDRESS, ADDRESS_DESCRIPTION),
                    Rule.pattern("/listen/metrics", ADDRESS, ADDRESS_DESCRIPTION),
                    Rule.range("/peerPort", 1, 65_535),
                    Rule.pattern("/seeds/*", ADDRESS, ADDRESS_DESCRIPTION),
                    Rule.pattern("/store", ADDRESS, ADDRESS_DESCRIPTION),
                    Rule.pattern("/endpoint", ADDRESS, ADDRESS_DESCRIPTION),
                    Rule.range("/bounds/versionMillis", 100, HOUR_MILLIS),
                    Rule.range("/bounds/configurationMillis", 100, HOUR_MILLIS),
                    Rule.range("/bounds/drainMillis", 100, HOUR_MILLIS),
                    Rule.range("/bounds/graceMillis", 100, HOUR_MILLIS),
                    Rule.range("/bounds/evacuateMillis", 100, HOUR_MILLIS),
                    Rule.range("/bounds/crashMemoryMillis", 1_000, 24 * HOUR_MILLIS),
                    Rule.range("/bounds/crashesKept", 10, 10_000)),
            LOG);

    private static final List<Rule> AGENT = List.of(
            Rule.pattern("/endpoint/kind", "engine|service", "engine or service"),
            Rule.pattern("/endpoint/url", URL, URL_DESCRIPTION),
            Rule.range("/endpoint/reportMillis", 20, 60_000),
            Rule.range("/weights/windowBytes", 1, 1L << 30),
            Rule.range("/weights/patienceMillis", 10, 600_000),
            Rule.range("/weights/lingerMillis", 0, HOUR_MILLIS),
            Rule.range("/weights/budgetMillis", 10, 60_000),
            Rule.range("/limits/leastConcurrency", 1, 10_000),
            Rule.range("/limits/mostConcurrency", 1, 10_000),
            Rule.range("/limits/ledgerKeys", 1, 1_000_000),
            Rule.range("/limits/ledgerBytes", 0, 1L << 30),
            Rule.range("/limits/ledgerKeptMillis", 0, 24 * HOUR_MILLIS),
            Rule.range("/limits/cutOffMillis", 100, 24 * HOUR_MILLIS),
            Rule.range("/limits/stopMillis", 0, 24 * HOUR_MILLIS));

    private SettingsReader() {}

    @SafeVarargs
    private static List<Rule> rules(List<Rule>... parts) {
        return Stream.of(parts).flatMap(List::stream).toList();
    }

    /**
     * Reads an entry's settings.
     *
     * @param file the file
     * @return the settings, or all errors in them
     */
    public static Result<EntrySettings> entry(Path file) {
        return read(file, "entry-defaults.jsonc", EntrySettings.class, ENTRY);
    }

    /**
     * Reads an agent's settings.
     *
     * @param file the file
     * @return the settings, or all errors in them
     */
    public static Result<AgentSettings> agent(Path file) {
        return read(file, "agent-defaults.jsonc", AgentSettings.class, AGENT);
    }

    /**
     * Reads the settings of a process on the users' platform.
     *
     * @param file the file
     * @return the settings, or all errors in them
     */
    public static Result<HostedSettings> hosted(Path file) {
        return bytes(file, Fault.Step.SETTINGS)
                .flatMap(bytes -> JsonDocument.parse(file.toString(), bytes, Fault.Step.SETTINGS))
                .flatMap(document -> document.bind(HostedSettings.class, HOSTED));
    }

    /**
     * Reads a file.
     *
     * @param file the file
     * @param step the step to name in faults
     * @return its bytes, or the reason why it cannot be read
     */
    public static Result<byte[]> bytes(Path file, Fault.Step step) {
        Objects.requireNonNull(file, "file is null");
        try {
            return Result.success(Files.readAllBytes(file));
        } catch (IOException e) {
            return Result.failure(
                    Fault.of(step, file.toString(), Reason.NOT_FOUND, file + ": cannot be read (" + e + ")"));
        }
    }

    /**
     * Returns the fields that have a rule.
     *
     * @return their pointers
     */
    public static List<String> checkedFields() {
        return rules(COMMON, ENTRY, AGENT, HOSTED).stream()
                .map(Rule::pointer)
                .distinct()
                .toList();
    }

    private static <T> Result<T> read(Path file, String defaults, Class<T> type, List<Rule> rules) {
        return bytes(file, Fault.Step.SETTINGS)
                .flatMap(bytes -> JsonDocument.parse(file.toString(), bytes, Fault.Step.SETTINGS))
                .flatMap(document -> defaults(defaults)
                        .flatMap(below -> document.withDefaults(below).bind(type, rules(COMMON, rules))));
    }

    private static Result<JsonDocument> defaults(String name) {
        try (InputStream in = SettingsReader.class.getResourceAsStream(name)) {
            Objects.requireNonNull(in, "the program lacks " + name);
            return JsonDocument.parse(name, in.readAllBytes(), Fault.Step.SETTINGS);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
