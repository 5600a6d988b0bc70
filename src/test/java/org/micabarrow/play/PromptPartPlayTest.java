package org.micabarrow.play;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * How many endpoints a part of prompts ends, and what happens to harmless requests meanwhile, of which all share the first part with the
 * others and most a second one. Half a minute is played for each seed. With the property {@code crashSeeds} more seeds are played.
 */
class PromptPartPlayTest {

    private static final int SEEDS = Integer.getInteger("crashSeeds", 6);
    private static final double SECONDS = 30;
    private static final int ENTRIES = 5;
    private static final double KILLED = 0.1;
    private static final double STREAMS = 0.9;

    /** How many requests with a poison part may be sent when every process has had the time to learn of the fifth crash. */
    private static final int MAX_SENT_LATE = 3;

    /** How many endpoints a part may end: as many as tell, and as many as a request may end beyond those that tell. */
    private static final int MAX_ENDED = 8;

    /** Of how many harmless requests one may be refused for crashes. */
    private static final int HARMLESS_A_REFUSAL = 10_000;

    /** The part of harmless requests that begin at once although poison ones still come. */
    private static final double BEGUN = 0.95;

    /** What callers feel, whatever holds. */
    private static String describe(CrashSetting setting, CrashOutcome outcome) {
        return setting + ": ended " + outcome.endedByPart + ", sent late " + outcome.sentLate + ", served "
                + outcome.harmlessServed + " of " + outcome.harmless + " harmless ones, without room "
                + outcome.harmlessWaitedInVain + ", of these isolated " + outcome.harmlessIsolatedInVain
                + ", begun at once " + outcome.harmlessLateBegun + " of " + outcome.harmlessLate;
    }

    private static void assertAim(CrashSetting setting, CrashOutcome outcome) {
        String seen = describe(setting, outcome);
        outcome.sentLate.values().forEach(sent -> assertTrue(sent <= MAX_SENT_LATE, seen));
        outcome.endedByPart.values().forEach(ended -> assertTrue(ended <= MAX_ENDED, seen));
        assertTrue(outcome.harmlessLateBegun >= BEGUN * outcome.harmlessLate, seen);
    }

    @ParameterizedTest
    @CsvSource({
        "4,  1, true",
        "4,  1, false",
        "12, 1, true",
        "12, 1, false",
        "12, 2, false",
        "30, 1, true",
        "30, 1, false",
        "30, 2, false"
    })
    void shouldRefusePromptsWithPoisonPartsAndHardlyAnyOther(int endpoints, int parts, boolean first) {
        assertAim(endpoints, 0, new PlayedPrompts.Setting(true, parts, first, 0));
    }

    @ParameterizedTest
    @CsvSource({"12, 1", "30, 1", "30, 3"})
    void shouldRefuseBothKindsWhenRequestsEndEndpointsToo(int endpoints, int crashers) {
        assertAim(endpoints, crashers, new PlayedPrompts.Setting(true, 1, false, 0));
    }

    @ParameterizedTest
    @CsvSource({"12", "30"})
    void shouldRefuseTogetherWhenOtherPartIsSeenOnlyBesidePoisonPart(int endpoints) {
        assertAim(endpoints, 0, new PlayedPrompts.Setting(true, 1, false, 1));
    }

    @ParameterizedTest
    @CsvSource({"12", "30"})
    void shouldRefusePromptsWithPoisonPartsWhenEndpointsBeginAnswersBeforeTheyEnd(int endpoints) {
        assertAim(endpoints, 0, new PlayedPrompts.Setting(true, 1, false, 0, true));
    }

    private static void assertAim(int endpoints, int crashers, PlayedPrompts.Setting prompts) {
        long harmless = 0;
        long refused = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            CrashSetting setting =
                    new CrashSetting(ENTRIES, endpoints, crashers, false, KILLED, true, STREAMS, prompts, seed);
            CrashOutcome outcome = CrashPlay.play(setting, SECONDS);
            assertEquals(prompts.poison(), outcome.endedByPart.size());
            assertAim(setting, outcome);
            harmless += outcome.harmless;
            refused += outcome.harmlessRefused;
        }
        assertTrue(refused * HARMLESS_A_REFUSAL <= harmless, refused + " of " + harmless + " harmless ones refused");
    }

    /** Guards against a part that nearly all prompts hold being taken for the cause of crashes that have another. */
    @ParameterizedTest
    @CsvSource({"3", "12", "30"})
    void shouldRefuseNoPromptWhenEndpointsAreOnlyKilled(int endpoints) {
        assertAim(endpoints, 0, new PlayedPrompts.Setting(true, 0, false, 0));
    }
}
