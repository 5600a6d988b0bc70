package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.state.Digest;
import org.micabarrow.state.Result;

/** Staged chunks count only until the endpoint restarts. */
class StagedChunksTest {

    private static final int CHUNKS = 4;
    private static final OptionalLong FIRST = OptionalLong.of(5_000);
    private static final OptionalLong SECOND = OptionalLong.of(9_000);

    private final Map<Integer, byte[]> staged = new HashMap<>();
    private final StagedChunks laid = new StagedChunks(new Place());
    private final ChunkSet set = new ChunkSet(
            "m",
            2,
            IntStream.range(0, CHUNKS).mapToObj(i -> Digest.of(chunk(i))).toList());

    private static byte[] chunk(int index) {
        return new byte[] {2, (byte) index};
    }

    /** An endpoint that stores staged chunks in a map. */
    private final class Place implements ModelEndpoint {

        @Override
        public Result<Report> report() {
            return Result.success(new Report(Map.of(), Map.of(), false, 0, 0, 0));
        }

        @Override
        public Result<Boolean> stage(String model, int index, byte[] bytes) {
            staged.put(index, bytes);
            return Result.success(true);
        }

        @Override
        public Result<Optional<byte[]>> staged(String model, int index) {
            return Result.success(Optional.ofNullable(staged.get(index)));
        }

        @Override
        public Result<OrderEnd> start(String model, long version, long ordersSeen) {
            return Result.success(OrderEnd.BEGUN);
        }

        @Override
        public Result<OrderEnd> startLayer(String model, long version, int layer, long ordersSeen) {
            return Result.success(OrderEnd.BEGUN);
        }
    }

    @BeforeEach
    void layAll() {
        IntStream.range(0, CHUNKS).forEach(i -> set.put(i, chunk(i)));
        laid.detectRestart(FIRST);
        laid.stageNew(set, () -> true);
        assertTrue(laid.all(set));
    }

    @Test
    void shouldLayAgainWhatPowerLossTook() {
        staged.clear();
        assertTrue(laid.detectRestart(SECOND));
        assertEquals(CHUNKS, laid.missing(set));
        assertFalse(laid.all(set));
        laid.stageNew(set, () -> true);
        assertTrue(laid.verifyAndRepair(set));
    }

    @Test
    void shouldLayNothingAgainWhileStartIsTheSame() {
        staged.clear();
        List.of(FIRST, OptionalLong.empty(), FIRST).forEach(start -> assertFalse(laid.detectRestart(start)));
        laid.stageNew(set, () -> true);
        assertEquals(0, staged.size());
    }

    @Test
    void shouldNotTakeFirstStartThatIsToldForAnother() {
        StagedChunks fresh = new StagedChunks(new Place());
        assertFalse(fresh.detectRestart(OptionalLong.empty()));
        assertFalse(fresh.detectRestart(FIRST));
    }
}
