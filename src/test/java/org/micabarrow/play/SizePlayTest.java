package org.micabarrow.play;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.play.CallerStream.Kind;
import org.micabarrow.play.LoadSetting.Delays;
import org.micabarrow.play.LoadSetting.Faults;
import org.micabarrow.play.LoadSetting.Moments;
import org.micabarrow.play.LoadSetting.Patience;
import org.micabarrow.play.LoadSetting.ToldPace;
import org.micabarrow.play.LoadSetting.Uneven;
import org.micabarrow.routing.ModelProfile;

/** Guards against large requests that are left unserved while smaller ones of their kind are served. */
class SizePlayTest {

    /** Prompts have up to 4,000 tokens: at the lower rate the largest take most of their objective by themselves. */
    private static final double USUAL_READING = 19.1;

    private static final double SLOW_READING = 14;

    private static final List<Kind> KINDS = List.of(
            new Kind("long", 1, 500, 1_290, 107),
            new Kind("middle", 1, 400, 787, 107),
            new Kind("short", 1, 400, 607, 70));
    private static final List<Double> PARTS = List.of(0.41, 0.3, 0.29);

    private static final Uneven SLOW_BY_MOMENTS = Uneven.NONE.with(new Moments(0.15, 2.5, 300, 900), ToldPace.TRUE);

    /** Entries on a third of a processor, behind full links. */
    private static final Delays LATE = new Delays(40, 30, 150);

    /** About what the engines can begin of this mix in a second at the usual rate. */
    private static final double CAPACITY_PER_SECOND = 190;

    private static final int ENGINES = 24;
    private static final int ENTRIES = 26;
    private static final double SECONDS = 20;

    /** What the largest tenth, and the fifth beneath it, are owed of what their kind gets. */
    private static final double OWED = 0.5;

    private static final int SEEDS = Integer.getInteger("sizeSeeds", 2);

    private static Tally play(double reading, double load, Delays delays, long seed) {
        List<Double> alike = Stream.generate(() -> 1.0 / ENTRIES).limit(ENTRIES).toList();
        List<String> organisations = List.of("o0", "o1", "o2", "o3");
        List<CallerStream> streams = IntStream.range(0, KINDS.size())
                .mapToObj(i -> new CallerStream(
                        KINDS.get(i), organisations, load * CAPACITY_PER_SECOND * PARTS.get(i), 0, SECONDS * 1_000))
                .toList();
        return LoadPlay.play(
                new LoadSetting(
                        alike,
                        ENGINES,
                        new ModelProfile("m", 12, reading, 8.87, 0.0388, 5, 16, 96, 24_576),
                        0,
                        150,
                        200,
                        true,
                        0.3,
                        new Patience(0.15, true),
                        Optional.empty(),
                        SLOW_BY_MOMENTS,
                        streams,
                        true,
                        Faults.NONE,
                        delays,
                        seed),
                SECONDS + 6);
    }

    private static double served(List<Tally> plays, Kind kind, double from, double to) {
        return plays.stream()
                .mapToDouble(tally -> tally.servedBySize(kind.name(), from, to))
                .average()
                .orElseThrow();
    }

    @ParameterizedTest(name = "reading {0} tokens/ms, load {1}, entries late: {2}")
    @CsvSource({"19.1, 2, false", "19.1, 4, true", "14, 1.3, false", "14, 2, false", "14, 2, true", "14, 4, true"})
    void shouldServeLargeRequestsHalfAsOftenAsTheirKindWhenTooManyCome(double reading, double load, boolean late) {
        List<Tally> plays = IntStream.range(0, SEEDS)
                .parallel()
                .mapToObj(seed -> play(reading, load, late ? LATE : Delays.NONE, seed))
                .toList();
        for (Kind kind : KINDS) {
            double all = served(plays, kind, 0, 1);
            double largest = served(plays, kind, 0.9, 1) / all;
            double beneath = served(plays, kind, 0.7, 0.9) / all;
            String figures = "%s: served %.3f, largest tenth %.2f of that, fifth beneath %.2f"
                    .formatted(kind.name(), all, largest, beneath);
            assertTrue(largest >= OWED && beneath >= OWED, figures);
        }
    }
}
