package org.micabarrow.platform;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;

/** JSON values that no program of the platform writes: nested very deeply, too large, out of range, or of another type. */
public final class OddValues {

    private static final int[] DEPTHS = {900, 1_001, 30_000, 100_000};

    private OddValues() {}

    /**
     * Returns the values.
     *
     * @return each as JSON text
     */
    public static List<String> all() {
        List<String> values = new ArrayList<>(List.of(
                "1e999999999",
                "-1e999999999",
                "1e-999999999",
                "1.5",
                "-0.0",
                "-1",
                "0",
                "65536",
                "2147483647",
                "2147483648",
                "9223372036854775807",
                "9223372036854775808",
                BigInteger.TEN.pow(999).toString(),
                "9".repeat(200_000),
                "0." + "9".repeat(200_000),
                "null",
                "true",
                "[]",
                "{}",
                "[null]",
                "\"\"",
                "\"\\u0000\\ud800\"",
                "\"" + "x".repeat(200_000) + "\"",
                "\"10.0.0.1:65536\"",
                "\"10.0.0.1:0\"",
                "\"10.0.0.1:-1\"",
                "\"10.0.0.1:99999999999999999999\"",
                "\"999.0.0.1:80\"",
                "{",
                "nonsense"));
        for (int depth : DEPTHS) {
            values.add("[".repeat(depth) + "]".repeat(depth));
            values.add("{\"a\":".repeat(depth) + "1" + "}".repeat(depth));
            values.add("[".repeat(depth));
        }
        return List.copyOf(values);
    }

    /**
     * Returns an object with each value in the place of each field, and the values themselves.
     *
     * @param names the names of the fields
     * @param usual a usual value of each, as JSON text
     * @return the objects and values as JSON text
     */
    public static List<String> inPlaceOfFields(List<String> names, List<String> usual) {
        List<String> objects = new ArrayList<>(all());
        for (int odd = 0; odd < names.size(); odd++) {
            for (String value : all()) {
                StringBuilder json = new StringBuilder("{");
                for (int i = 0; i < names.size(); i++) {
                    json.append(i == 0 ? "" : ",")
                            .append('"')
                            .append(names.get(i))
                            .append("\":");
                    json.append(i == odd ? value : usual.get(i));
                }
                objects.add(json.append('}').toString());
            }
        }
        return objects;
    }

    /**
     * Returns entries of an endpoint of which one field is odd.
     *
     * @param service the endpoints' service
     * @param address their host and port
     * @param hall their data hall
     * @return the entries as JSON text
     */
    public static List<String> entries(String service, String address, String hall) {
        return inPlaceOfFields(
                List.of(
                        "service",
                        "address",
                        "zone",
                        "slots",
                        "state",
                        "cold_left_ms",
                        "sequence",
                        "born",
                        "models",
                        "layers",
                        "unused"),
                List.of(
                        quoted(service),
                        quoted(address),
                        quoted(hall),
                        "16",
                        "\"ready\"",
                        "0",
                        "1",
                        "1000",
                        "[{\"name\":\"model-a\",\"version\":1}]",
                        "{\"from\":0,\"target_version\":16,\"version\":1}",
                        "0"));
    }

    private static String quoted(String text) {
        return '"' + text + '"';
    }
}
