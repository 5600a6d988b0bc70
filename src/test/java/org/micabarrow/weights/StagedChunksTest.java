package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.state.Digest;
import org.micabarrow.state.Result;
import org.micabarrow.weights.StagedChunks.Verification;

/** Staged chunks count only until the endpoint restarts. */
class StagedChunksTest {

    private static final int CHUNKS = 4;
    private static final OptionalLong FIRST_START = OptionalLong.of(5_000);
    private static final OptionalLong SECOND_START = OptionalLong.of(9_000);

    private final AtomicLong now = new AtomicLong(70_000);
    private final Map<Integer, byte[]> staged = new HashMap<>();
    private long readMillis;
    private final StagedChunks stagedChunks = new StagedChunks(new MapEndpoint(), now::get);
    private final ChunkSet set = new ChunkSet(
            "m",
            2,
            IntStream.range(0, CHUNKS).mapToObj(i -> Digest.of(chunk(i))).toList());

    private static byte[] chunk(int index) {
        return new byte[] {2, (byte) index};
    }

    /** An endpoint that stores staged chunks in a map. */
    private final class MapEndpoint implements ModelEndpoint {

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
        public Result<Optional<byte[]>> readStaged(String model, int index) {
            now.addAndGet(readMillis);
            return Result.success(Optional.ofNullable(staged.get(index)));
        }

        @Override
        public Result<OrderOutcome> load(String model, long version, long expectedOrders, BooleanSupplier stillDue) {
            return Result.success(OrderOutcome.BEGUN);
        }

        @Override
        public Result<OrderOutcome> loadLayer(String model, long version, int layer, long expectedOrders) {
            return Result.success(OrderOutcome.BEGUN);
        }
    }

    @BeforeEach
    void stageAll() {
        IntStream.range(0, CHUNKS).forEach(i -> set.put(i, chunk(i)));
        stagedChunks.detectRestart(FIRST_START);
        stagedChunks.stageNew(set, () -> true);
        assertTrue(stagedChunks.isComplete(set));
    }

    @Test
    void shouldStageAgainWhenPowerLossDeletedChunks() {
        staged.clear();
        assertTrue(stagedChunks.detectRestart(SECOND_START));
        assertEquals(CHUNKS, stagedChunks.missingCount(set));
        assertFalse(stagedChunks.isComplete(set));
        stagedChunks.stageNew(set, () -> true);
        assertInstanceOf(Verification.Intact.class, stagedChunks.verifyAndRepair(set));
    }

    @Test
    void shouldStageNothingAgainWhileStartTimeIsUnchanged() {
        staged.clear();
        List.of(FIRST_START, OptionalLong.empty(), FIRST_START)
                .forEach(start -> assertFalse(stagedChunks.detectRestart(start)));
        stagedChunks.stageNew(set, () -> true);
        assertEquals(0, staged.size());
    }

    // -- for how long a pass is relied on

    private ReadBack pass(long millisForEachChunk) {
        readMillis = millisForEachChunk;
        return assertInstanceOf(Verification.Intact.class, stagedChunks.verify(set))
                .readBack();
    }

    @Test
    void shouldCountAgeOfPassFromItsBeginning() {
        ReadBack pass = pass(20);
        assertTrue(pass.isValidAt(70_000 + 500));
        assertFalse(pass.isValidAt(70_000 + 501));
    }

    @Test
    void shouldRelyOnPassOfSlowEndpointForLongerButLessThanTolerated() {
        assertTrue(pass(200).isValidAt(now.get()), "a pass that is not interrupted is valid when it ends");
        assertEquals(1_600, pass(200).maxAgeMillis());
        assertEquals(500, pass(20).maxAgeMillis());
        StagedChunks slower = new StagedChunks(new MapEndpoint(), now::get);
        readMillis = 600;
        ReadBack slowest =
                assertInstanceOf(Verification.Intact.class, slower.verify(set)).readBack();
        assertFalse(slowest.isValidAt(now.get()));
    }

    /** A pass that was interrupted takes longer, but that is not the endpoint's speed. */
    @Test
    void shouldNotRelyOnInterruptedPassWhenOthersWereShort() {
        pass(20);
        assertFalse(pass(200).isValidAt(now.get()));
    }

    @Test
    void shouldLeaveCorruptedChunksWhenOnlyVerifying() {
        staged.put(1, new byte[] {0});
        assertEquals(new Verification.Corrupted(1), stagedChunks.verify(set));
        assertEquals(new Verification.Corrupted(1), stagedChunks.verifyAndRepair(set));
        assertInstanceOf(Verification.Intact.class, stagedChunks.verify(set));
    }

    @Test
    void shouldNotDetectRestartWhenFirstStartTimeIsReported() {
        StagedChunks fresh = new StagedChunks(new MapEndpoint(), now::get);
        assertFalse(fresh.detectRestart(OptionalLong.empty()));
        assertFalse(fresh.detectRestart(FIRST_START));
    }
}
