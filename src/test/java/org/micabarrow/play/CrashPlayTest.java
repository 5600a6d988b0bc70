package org.micabarrow.play;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Who is refused for the crashes of endpoints, and how many of these a request ends. A minute is played for each seed; a tenth of the
 * endpoints is killed each ten seconds, a third loses its power half-way, most requests are streams, and one content is asked for by
 * one in thirty. With the property {@code crashSeeds} more seeds are played.
 */
class CrashPlayTest {

    private static final int SEEDS = Integer.getInteger("crashSeeds", 6);
    private static final double SECONDS = 60;
    private static final int ENTRIES = 5;
    private static final double KILLED = 0.1;
    private static final double STREAMS = 0.9;

    /** Of how many harmless requests one may be refused. */
    private static final int HARMLESS_A_REFUSAL = 10_000;

    /** How many endpoints a request may end beyond those that run it when the third has ended. */
    private static final int MAX_MORE = 3;

    /** Half of the time within which a process that was out of touch is in touch again, in milliseconds. */
    private static final double REFUSED_WITHIN_MILLIS = 1_500;

    private static void assertAim(int endpoints, int crashers, boolean atOnce, int seeds) {
        long harmless = 0;
        long refused = 0;
        for (int seed = 0; seed < seeds; seed++) {
            CrashSetting setting = new CrashSetting(ENTRIES, endpoints, crashers, atOnce, KILLED, true, STREAMS, seed);
            CrashOutcome outcome = CrashPlay.play(setting, SECONDS);
            harmless += outcome.harmless;
            refused += outcome.harmlessRefused;
            assertTrue(outcome.mostEndedByMore() <= MAX_MORE, () -> setting + ": " + outcome.endedByMore);
        }
        assertTrue(refused * HARMLESS_A_REFUSAL <= harmless, refused + " of " + harmless + " harmless ones refused");
    }

    @ParameterizedTest
    @CsvSource({"3,   0", "3,   1", "3,   5", "8,   0", "8,   1", "8,   5", "30,  0", "30,  1", "30,  5"})
    void shouldRefuseThoseThatEndEndpointsAndHardlyAnyOther(int endpoints, int crashers) {
        assertAim(endpoints, crashers, false, SEEDS);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void shouldRefuseThoseThatEndEndpointsAndHardlyAnyOtherWhenThereAreHundreds(boolean atOnce) {
        assertAim(300, 5, atOnce, 1);
    }

    /** Most endpoints are down at the same time, so that hardly a crash has one suspect only. */
    @ParameterizedTest
    @ValueSource(ints = {3, 8, 30})
    void shouldRefuseThoseThatEndEndpointsAndHardlyAnyOtherWhenTheyBeginAtOnce(int endpoints) {
        assertAim(endpoints, 5, true, SEEDS);
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 14, 50})
    void shouldRefuseAtEveryEntryInTimeWhenThirdEndpointHasEnded(int entries) {
        for (int seed = 0; seed < SEEDS; seed++) {
            CrashOutcome outcome = CrashPlay.play(new CrashSetting(entries, 30, 1, false, 0, false, STREAMS, seed), 30);
            assertEquals(1, outcome.convicted);
            assertTrue(outcome.slowestMillis <= REFUSED_WITHIN_MILLIS, outcome.slowestMillis + " ms");
        }
    }

    @Test
    void shouldPlayTheSameWhenSeedIsTheSame() {
        CrashSetting setting = new CrashSetting(ENTRIES, 8, 5, true, KILLED, true, STREAMS, 7);
        assertEquals(CrashPlay.play(setting, 20).endedByMore, CrashPlay.play(setting, 20).endedByMore);
    }
}
