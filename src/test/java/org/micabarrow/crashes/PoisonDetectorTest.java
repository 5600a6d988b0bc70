package org.micabarrow.crashes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PoisonDetectorTest {

    private static final int ENDPOINT_COUNT = 30;

    static RequestDigest digest(String name) {
        return new RequestDigest(String.format("%032x", new BigInteger(1, name.getBytes(StandardCharsets.UTF_8))));
    }

    static String name(Cause digest) {
        return new String(new BigInteger(digest.toString(), 16).toByteArray(), StandardCharsets.UTF_8);
    }

    /**
     * Parses crashes given as {@code time:requests}, such as {@code 0:ab 5:ac}. Capital letters denote requests
     * whose responses had begun.
     */
    static CrashEvidence evidence(String crashes) {
        Map<Cause, Set<String>> at = new HashMap<>();
        Map<String, Long> times = new HashMap<>();
        Set<Cause> partlyResponded = new HashSet<>();
        for (String crash : crashes.split(" ")) {
            String[] parts = crash.split(":");
            String endpoint = "e" + times.size();
            times.put(endpoint, Long.parseLong(parts[0]) * 1_000);
            for (char request : parts[1].toCharArray()) {
                RequestDigest digest = digest(String.valueOf(Character.toLowerCase(request)));
                at.computeIfAbsent(digest, key -> new HashSet<>()).add(endpoint);
                if (Character.isUpperCase(request)) {
                    partlyResponded.add(digest);
                }
            }
        }
        return new CrashEvidence(at, partlyResponded, Set.of(), times, Map.of());
    }

    @ParameterizedTest
    @CsvSource({
        "one after the other,                            0:ab 9:ac 18:ad,                     a",
        "two crashes are too few,                        0:ab 9:ac,                           ''",
        "both were involved in all crashes,              0:ab 9:ab 18:ab,                     ''",
        "one was involved in two more without the other, 0:ab 9:ab 18:ab 27:ac 36:ad,         a",
        "another suspect in the first three crashes,     0:ax 9:ax 18:ax 27:a 36:a,           a",
        "two poison requests in turn,                    0:a 9:b 18:a 27:b 36:a 45:b,         ab",
        "a crash that a poison request explains,         0:a 9:a 18:a 27:ab 36:b 45:b,        a",
        "responses had begun at three,                   0:A 9:A 18:A,                        ''",
        "responses had begun at four,                    0:A 9:A 18:A 27:A,                   a",
        "one of five is shared and responses began,     0:A 9:A 18:A 27:Ab 36:b,             a",
        "two of four are shared and responses began,   0:A 9:A 18:Ab 27:Ab,                 ''",
        "many other endpoints crash in the same second,  0:a 0:b 0:c 0:d 0:e 0:f 0:g 0:a 0:a, ''"
    })
    void shouldDetectPoisonRequests(String description, String crashes, String poisonRequests) {
        Set<String> found = new TreeSet<>();
        PoisonDetector.detect(evidence(crashes), List.of(), ENDPOINT_COUNT)
                .forEach(poison -> poison.causes().forEach(one -> found.add(name(one))));
        assertEquals(poisonRequests, String.join("", found), description);
    }
}
