package org.micabarrow.crashes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RecurrentCausesTest {

    private static final long REPORTS_COMPLETE_MILLIS = 200;

    private static String names(Set<Cause> digests) {
        Set<String> names = new TreeSet<>();
        digests.forEach(digest -> names.add(PoisonDetectorTest.name(digest)));
        return String.join("", names);
    }

    /** Crashes are given as {@code seconds:requests}; the last one is {@code sinceLastMillis} ago. */
    private static RecurrentCauses causes(String crashes, long sinceLastMillis) {
        CrashEvidence evidence = PoisonDetectorTest.evidence(crashes);
        long last = evidence.times().values().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElseThrow();
        return new RecurrentCauses(evidence, last + sinceLastMillis);
    }

    @ParameterizedTest
    @CsvSource({
        "three alone are left to the detector,     0:a 9:a 18:a,                        ''",
        "four of which two are sole,               0:ab 9:ab 18:a 27:a 36:b,            a",
        "four of which two sole are simultaneous,  0:ab 9:ab 18:a 18:a 27:b,            ''",
        "five shared,                              0:ab 9:ab 18:ab 27:ab 36:ab,         ''",
        "five of which one is sole,                0:ab 9:ab 18:ab 27:ab 36:a,          a",
        "six shared,                               0:ab 9:ab 18:ab 27:ab 36:ab 45:ab,   ab",
        "six in the same second,                   0:a 0:a 0:a 0:a 0:a 1:a,             ''",
        "shared only with retries of one attempt,  0:ab 0:ab 9:acd 9:acd 18:ad,         a"
    })
    void shouldDetectPoisonRequestsByAllTheirCrashes(String description, String crashes, String poison) {
        assertEquals(poison, names(causes(crashes, REPORTS_COMPLETE_MILLIS).poison()), description);
    }

    /** Guards against a harmless request that is refused before another process reports the poison request beside it. */
    @ParameterizedTest
    @CsvSource({"0, ''", "199, ''", "200, a"})
    void shouldCountCrashAsSoleOnlyWhenReportsAreComplete(long sinceLastMillis, String poison) {
        assertEquals(
                poison,
                names(causes("0:ab 9:ab 18:ab 27:ab 36:a", sinceLastMillis).poison()));
    }

    /** Guards against a harmless request that is refused although poison requests explain all of its crashes. */
    @ParameterizedTest
    @CsvSource({
        "one poison request explains all,     0:ab 9:ab 18:ab 27:ab 36:ab 45:ab 54:a,          b",
        "two poison requests explain all,     0:ab 9:ab 18:ab 27:bc 36:bc 45:bc 54:a 63:c,     b",
        "one crash is not explained,          0:ab 9:ab 18:ab 27:bc 36:bc 45:bd 54:a 63:c,     ''",
        "each has a sole crash,               0:ab 9:ab 18:ab 27:ab 36:ab 45:a 54:b,           ''",
        "neither has a sole crash,            0:ab 9:ab 18:ab 27:ab 36:ab 45:ab,               ''"
    })
    void shouldFindRequestsWhoseCrashesAreAllExplainedByOthers(String description, String crashes, String explained) {
        Set<Cause> poison = PoisonDetectorTest.evidence(crashes).crashes().keySet();
        assertEquals(explained, names(causes(crashes, REPORTS_COMPLETE_MILLIS).explainedByOthers(poison)), description);
    }
}
